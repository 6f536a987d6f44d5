package io.lavenderhinge.e2e.repeating

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** What the servers of a run did, by request id. */
internal class ServerLog {
    private val runCounts = ConcurrentHashMap<String, Int>()
    private val answers = ConcurrentHashMap<String, ConcurrentLinkedQueue<ServedAnswer>>()
    private val copies = ConcurrentHashMap<String, Int>()

    /** Number of copies that were sent, by kind. */
    val copyCounts: ImmutableMap<String, Int>
        get() = copies.toSortedMap().toImmutableMap()

    fun onRun(requestId: String) {
        runCounts.merge(requestId, 1, Int::plus)
    }

    /** Records an answer before its first byte is sent. */
    fun onAnswer(answer: ServedAnswer) {
        answers.computeIfAbsent(answer.requestId) { ConcurrentLinkedQueue() } += answer
    }

    fun onCopy(kind: String) {
        copies.merge(kind, 1, Int::plus)
    }

    fun runCount(requestId: String): Int = runCounts[requestId] ?: 0

    fun answersTo(requestId: String): ImmutableList<ServedAnswer> =
        answers[requestId]?.toImmutableList() ?: persistentListOf()

    /** Ids of all requests that reached a server. */
    fun requestIds(): Set<String> = answers.keys + runCounts.keys
}
