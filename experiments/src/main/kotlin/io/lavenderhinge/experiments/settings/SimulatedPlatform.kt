package io.lavenderhinge.experiments.settings

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.settings.ReplicaEvent
import io.lavenderhinge.core.settings.TeamText
import kotlinx.collections.immutable.toImmutableList

/** Simulated key-value service and delayed member list. Counts the calls of all instances. */
internal class SimulatedPlatform(private val queue: EventQueue, private val plan: RunPlan) {
    private class StoredText(val text: TeamText, val revision: Long)

    private class Watch(val afterRevision: Long, val respond: (ReplicaEvent) -> Unit)

    private val storedTexts = LinkedHashMap<String, StoredText>()
    private val watches = mutableListOf<Watch>()
    private var storeRevision = 0L
    private var members = listOf<ListedMember>()

    /** Whether the instances of a domain can reach the platform. */
    var reachable: (domain: String) -> Boolean = { true }
    var calls = 0L

    /** Size of the member list that an instance downloads. */
    val listBytes: Int
        get() = members.size * WireSize.LISTED_MEMBER_BYTES

    fun put(text: TeamText) {
        storedTexts[text.team] = StoredText(text, ++storeRevision)
        val due = watches.toList()
        watches.clear()
        due.forEach {
            queue.scheduleAfter(plan.scenario.platformDelayMillis) { it.respond(changes(it)) }
        }
    }

    fun revisionOf(team: String): Long = storedTexts.getValue(team).text.revision

    fun list(domain: String, respond: (ReplicaEvent) -> Unit) =
        call(domain, respond) {
            respond(ReplicaEvent.Listed(storedTexts.values.map { it.text }.toImmutableList()))
        }

    fun watch(
        domain: String,
        afterRevision: Long,
        waitMillis: Long,
        respond: (ReplicaEvent) -> Unit,
    ) =
        call(domain, respond) {
            val watch = Watch(afterRevision) { if (reachable(domain)) respond(it) }
            if (storeRevision > afterRevision) watch.respond(changes(watch))
            else {
                watches += watch
                queue.scheduleAfter(waitMillis) {
                    if (watches.remove(watch)) watch.respond(changes(watch))
                }
            }
        }

    /** Updates the member list. Instances see the change after [LIST_LAG_MILLIS]. */
    fun publish(current: List<ListedMember>) =
        queue.scheduleAfter(LIST_LAG_MILLIS) { members = current }

    fun fetchMembers(domain: String, respond: (List<ListedMember>?) -> Unit) =
        queue.scheduleAfter(plan.scenario.platformDelayMillis) {
            respond(members.takeIf { reachable(domain) })
        }

    private fun changes(watch: Watch) =
        ReplicaEvent.Watched(
            storedTexts.values
                .filter { it.revision > watch.afterRevision }
                .map { it.text }
                .toImmutableList(),
            storeRevision,
        )

    private fun call(domain: String, respond: (ReplicaEvent) -> Unit, action: () -> Unit) {
        calls++
        if (reachable(domain)) queue.scheduleAfter(plan.scenario.platformDelayMillis, action)
        else
            queue.scheduleAfter(TIMEOUT_MILLIS) {
                respond(ReplicaEvent.PlatformFailed("no answer"))
            }
    }

    companion object {
        const val LIST_LAG_MILLIS = 5_000L
        private const val TIMEOUT_MILLIS = 2_000L
    }
}
