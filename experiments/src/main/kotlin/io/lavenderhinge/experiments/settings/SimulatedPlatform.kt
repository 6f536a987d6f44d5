package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.settings.ReplicaEvent
import io.lavenderhinge.core.settings.TeamText
import kotlinx.collections.immutable.toImmutableList

/** Key-value service and lagging list in virtual time. Counts every call of an instance. */
internal class SimulatedPlatform(private val queue: EventQueue, private val plan: RunPlan) {
    private class Stored(val text: TeamText, val revision: Long)

    private class Watch(val after: Long, val answer: (ReplicaEvent) -> Unit)

    private val stored = LinkedHashMap<String, Stored>()
    private val watches = mutableListOf<Watch>()
    private var storeRevision = 0L
    private var members = listOf<ListedMember>()

    /** Whether instances of a domain reach the platform. */
    var reachable: (domain: String) -> Boolean = { true }
    var calls = 0L

    /** Bytes of the list read by the instance that asks. */
    val listBytes: Int
        get() = members.size * WireSize.MEMBER

    fun put(text: TeamText) {
        stored[text.team] = Stored(text, ++storeRevision)
        val due = watches.toList()
        watches.clear()
        due.forEach { queue.after(plan.scenario.platformDelayMillis) { it.answer(changes(it)) } }
    }

    fun revisionOf(team: String): Long = stored.getValue(team).text.revision

    fun list(domain: String, answer: (ReplicaEvent) -> Unit) =
        call(domain, answer) {
            answer(ReplicaEvent.Listed(stored.values.map { it.text }.toImmutableList()))
        }

    fun watch(domain: String, after: Long, waitMillis: Long, answer: (ReplicaEvent) -> Unit) =
        call(domain, answer) {
            val watch = Watch(after) { if (reachable(domain)) answer(it) }
            if (storeRevision > after) watch.answer(changes(watch))
            else {
                watches += watch
                queue.after(waitMillis) { if (watches.remove(watch)) watch.answer(changes(watch)) }
            }
        }

    /** Changes the list; instances see it [LIST_LAG_MILLIS] later. */
    fun publish(current: List<ListedMember>) = queue.after(LIST_LAG_MILLIS) { members = current }

    fun members(domain: String, answer: (List<ListedMember>?) -> Unit) =
        queue.after(plan.scenario.platformDelayMillis) {
            answer(members.takeIf { reachable(domain) })
        }

    private fun changes(watch: Watch) =
        ReplicaEvent.Watched(
            stored.values.filter { it.revision > watch.after }.map { it.text }.toImmutableList(),
            storeRevision,
        )

    private fun call(domain: String, answer: (ReplicaEvent) -> Unit, action: () -> Unit) {
        calls++
        if (reachable(domain)) queue.after(plan.scenario.platformDelayMillis, action)
        else queue.after(TIMEOUT_MILLIS) { answer(ReplicaEvent.PlatformFailed("no answer")) }
    }

    companion object {
        const val LIST_LAG_MILLIS = 5_000L
        private const val TIMEOUT_MILLIS = 2_000L
    }
}
