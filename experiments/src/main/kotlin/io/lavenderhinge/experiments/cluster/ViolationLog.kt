package io.lavenderhinge.experiments.cluster

/** Invariants checked during a run. Design section 1.3 defines I1, I2 and I4. */
enum class Invariant {
    /** Conservation: every arrival ends exactly once. */
    ENDS_ONCE,

    /** I1: a backend server accepts a request at most once. */
    AT_MOST_ONCE,

    /** I2: no top-tier request is shed while a lower tier is served. */
    TOP_TIER_FIRST,

    /** I4: the caller receives the complete response to its own request. */
    COMPLETE_ANSWER,
}

/** Counts violations and keeps the first descriptions of each invariant. */
class ViolationLog {
    private val countByInvariant = HashMap<Invariant, Int>()
    private val firstDescriptions = ArrayList<String>()

    val descriptions: List<String>
        get() = firstDescriptions

    fun count(invariant: Invariant): Int = countByInvariant[invariant] ?: 0

    fun record(invariant: Invariant, description: String) {
        countByInvariant.merge(invariant, 1, Int::plus)
        if (count(invariant) <= MAX_DESCRIPTIONS) firstDescriptions += "$invariant: $description"
    }

    private companion object {
        const val MAX_DESCRIPTIONS = 5
    }
}
