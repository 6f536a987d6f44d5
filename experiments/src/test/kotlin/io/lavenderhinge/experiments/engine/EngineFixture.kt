package io.lavenderhinge.experiments.engine

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.settings.Target
import io.lavenderhinge.experiments.scheduler.PREFIX_BLOCK_TOKENS
import io.lavenderhinge.experiments.scheduler.ScheduledRequest
import io.lavenderhinge.experiments.time.EventLoop
import io.lavenderhinge.experiments.time.MICROS_PER_SECOND
import kotlinx.collections.immutable.toImmutableList

/** One call of [BackendListener]. */
internal data class RecordedEvent(
    val atMicros: Long,
    val requestId: String,
    val kind: String,
    val cachedPrefixTokens: Int = 0,
    val outputTokens: Int = 0,
    val betweenTokensMillis: Double = 0.0,
)

/** An engine with its clock, and a listener that records its events. */
internal class EngineFixture(vararg faults: VersionFault) : BackendListener {
    val loop = EventLoop()
    val events = mutableListOf<RecordedEvent>()
    val engine =
        FakeEngine("engine-0", HardwareProfile.of(2), loop, this, versionFaults = faults.toList())

    override fun onFirstToken(job: BackendJob, serverId: String, cachedPrefixTokens: Int) {
        events += RecordedEvent(loop.nowMicros, job.request.id, "first", cachedPrefixTokens)
    }

    override fun onCompleted(
        job: BackendJob,
        serverId: String,
        outputTokens: Int,
        betweenTokensMillis: Double,
    ) {
        events +=
            RecordedEvent(
                loop.nowMicros,
                job.request.id,
                "completed",
                outputTokens = outputTokens,
                betweenTokensMillis = betweenTokensMillis,
            )
    }

    override fun onFailed(job: BackendJob, serverId: String, message: String) {
        events += RecordedEvent(loop.nowMicros, job.request.id, "failed")
    }

    fun run(seconds: Int = 100) = loop.runUntil(loop.nowMicros + seconds * MICROS_PER_SECOND)

    fun events(kind: String): List<RecordedEvent> = events.filter { it.kind == kind }

    fun submit(count: Int, promptTokens: Int = 128, outputTokens: Int = 50): Unit =
        repeat(count) { engine.submit(job("r$it", promptTokens, outputTokens)) }
}

/**
 * Creates a request whose prefix hashes count up from [firstBlock]; equal values share a prefix.
 */
internal fun job(
    id: String,
    promptTokens: Int = 128,
    outputTokens: Int = 50,
    firstBlock: Long = id.hashCode() * 1_000L,
    route: String = "draft",
    serviceMicros: Long = 0,
) =
    BackendJob(
        ScheduledRequest(
            id = id,
            workspace = "w",
            weight = 1.0,
            route = route,
            target = Target.Model("m"),
            version = "1",
            tier = Tier.INTERACTIVE,
            idempotent = true,
            promptTokens = promptTokens,
            maxOutputTokens = outputTokens,
            prefixHashes =
                List(promptTokens / PREFIX_BLOCK_TOKENS) { firstBlock + it }.toImmutableList(),
            arrivalMillis = 0,
            deadlineMillis = 30_000,
            targetFirstTokenMillis = 1_000,
            targetBetweenTokensMillis = 46,
        ),
        outputTokens,
        serviceMicros,
    )
