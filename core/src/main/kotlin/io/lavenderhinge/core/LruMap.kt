package io.lavenderhinge.core

/** A map of at most [capacity] keys that evicts the least recently used one. */
internal class LruMap<K, V>(private val capacity: Int) :
    LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: Map.Entry<K, V>) = size > capacity

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
