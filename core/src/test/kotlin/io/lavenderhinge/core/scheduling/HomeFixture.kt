package io.lavenderhinge.core.scheduling

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.limit.AdaptiveLimit
import io.lavenderhinge.core.limit.LimitSample
import io.lavenderhinge.core.limit.LimitStatement
import io.lavenderhinge.core.port.LoadReport

/** A fixed limit, so that tests observe only the behavior of the home. */
internal class FixedLimit(override val sequences: Int) : AdaptiveLimit {
    override val contextTokens = Long.MAX_VALUE

    override fun observe(sample: LimitSample, nowMillis: Long) = Unit

    override fun onLoadReported(running: Int, waiting: Int, nowMillis: Long) = Unit
}

/** Drives a home with a manual clock and builds requests with defaults. */
internal class HomeFixture(slots: Int, queueCapacity: Int = 256) {
    var nowMillis = 0L
    val home = Home("s", FixedLimit(slots), HomeSettings(queueCapacity = queueCapacity))

    @Suppress("LongParameterList")
    fun request(
        id: String,
        tier: Tier = Tier.STANDARD,
        workspace: String = "w",
        weight: Double = 1.0,
        entry: String = "e",
        deadlineMillis: Long = 1_000_000,
        firstTokenDueMillis: Long = Long.MAX_VALUE,
        mayPreempt: Boolean = false,
    ) =
        GrantRequest(
            id,
            entry,
            tier,
            workspace,
            weight,
            promptTokens = 0,
            outputTokens = 0,
            deadlineMillis = deadlineMillis,
            firstTokenDueMillis = firstTokenDueMillis,
            mayPreempt = mayPreempt,
        )

    fun handle(event: HomeEvent): List<String> = home.handle(event, nowMillis).map(::text)

    fun submit(request: GrantRequest): List<String> = handle(HomeEvent.Requested(request))

    fun finish(
        id: String,
        resultClass: ResultClass = ResultClass.OK,
        limitStatement: LimitStatement? = null,
    ): List<String> {
        val result = SlotResult(resultClass, limitStatement = limitStatement)
        return handle(HomeEvent.Finished(GrantRequestKey("e", id), result))
    }

    fun reportLoad(running: Int): List<String> =
        handle(HomeEvent.LoadReported(LoadReport(running, 0, 0, "1", 0)))

    fun at(millis: Long): HomeFixture = apply { nowMillis = millis }

    fun inService(): Int = home.status(nowMillis).inService

    private fun text(effect: HomeEffect): String =
        when (effect) {
            is HomeEffect.Grant -> "grant ${effect.grantRequestId}"
            is HomeEffect.Queued -> "queued ${effect.grantRequestId}"
            is HomeEffect.Refuse -> "refuse ${effect.grantRequestId} ${effect.reason}"
            is HomeEffect.Preempt -> "preempt ${effect.grantRequestId}"
        }
}
