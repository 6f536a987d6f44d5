package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.core.scheduling.InstanceView
import io.lavenderhinge.core.scheduling.RefusalReason
import io.lavenderhinge.core.scheduling.ServerView
import io.lavenderhinge.core.settings.Target
import kotlin.random.Random
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** Drives a router on instance `e`; the test provides the answers of the homes. */
internal class RouterFixture(
    private val instances: List<String> = listOf("h"),
    private val servers: List<ServerView> = listOf(server("s1"), server("s2")),
) {
    var nowMillis = 0L
    private val router = SlotRouter("e", "d0", Random(1))
    private val lastRequests = HashMap<String, RouterEffect.Send>()

    init {
        handle(view(instances))
    }

    /** Handles [event]. Grant requests are rendered as `request <server>` or `preempt-request`. */
    fun handle(event: RouterEvent): List<String> = router.handle(event, nowMillis).map(::text)

    fun submit(request: SlotRequest = request()): List<String> =
        handle(RouterEvent.Requested(request))

    fun grant(serverId: String, cachedTokens: Int = 0): List<String> =
        answer(serverId) { HomeEffect.Grant("e", it, cachedTokens) }

    fun queue(serverId: String, waitMillis: Long): List<String> =
        answer(serverId) { HomeEffect.Queued("e", it, waitMillis) }

    fun refuse(serverId: String, reason: RefusalReason, lowerTierCount: Int = 0): List<String> =
        answer(serverId) { HomeEffect.Refuse("e", it, reason, 1_500, lowerTierCount) }

    fun summary(serverId: String, waitMillis: Long): List<String> =
        handle(
            RouterEvent.SummariesReceived(
                persistentListOf(HomeSummary(serverId, waitMillis, 0, Tier.BATCH, nowMillis + 1))
            )
        )

    fun view(instanceIds: List<String>) =
        RouterEvent.ViewChanged(
            instanceIds.map { InstanceView(it, "d0") }.toImmutableList(),
            servers.toImmutableList(),
        )

    fun at(millis: Long): RouterFixture = apply { nowMillis = millis }

    private fun answer(serverId: String, message: (String) -> HomeEffect): List<String> {
        val sent = lastRequests.getValue(serverId)
        val grantRequestId = (sent.event as HomeEvent.Requested).request.grantRequestId
        return handle(RouterEvent.HomeAnswered(sent.homeId, serverId, message(grantRequestId)))
    }

    private fun text(effect: RouterEffect): String =
        when (effect) {
            is RouterEffect.Send -> text(effect)
            is RouterEffect.Granted -> "granted ${effect.requestId} ${effect.server.id}"
            is RouterEffect.Refused -> "refused ${effect.requestId} ${effect.refusal.reason}"
            is RouterEffect.Preempted -> "preempted ${effect.requestId}"
        }

    private fun text(send: RouterEffect.Send): String =
        when (val event = send.event) {
            is HomeEvent.Requested -> {
                lastRequests[send.serverId] = send
                if (event.request.mayPreempt) "preempt-request ${send.serverId}"
                else "request ${send.serverId}"
            }
            is HomeEvent.Registered -> "register ${send.serverId} with ${send.homeId}"
            is HomeEvent.Released -> "release ${send.serverId}"
            else -> "done ${send.serverId}"
        }

    companion object {
        fun server(id: String, domain: String = "d0") =
            ServerView(id, "127.0.0.1:1", domain, Target.Model("m"), "1")

        fun request(
            id: String = "r",
            tier: Tier = Tier.INTERACTIVE,
            deadlineMillis: Long = 30_000,
            prefixHashes: List<Long> = emptyList(),
            attempt: Int = 0,
        ) =
            SlotRequest(
                id,
                Target.Model("m"),
                "1",
                tier,
                "w",
                1.0,
                deadlineMillis,
                promptTokens = 1_000,
                outputTokens = 100,
                prefixHashes = prefixHashes.toImmutableList(),
                attempt = attempt,
            )
    }
}
