package io.lavenderhinge.core.forwarding

/** How the streams of a simulated version pause after their third event. */
internal data class StreamPause(
    /** Length of the pause; null if the stream never goes on. */
    val millis: Long?,
    /** Of the streams, in percent. */
    val streamPercent: Int,
)

/**
 * Simulates a rollout of streams that cannot be resumed, on several instances that exchange
 * reports. Clients leave after [PATIENCE_MILLIS] without an event.
 */
internal class StreamRolloutSimulation(
    private val old: StreamPause,
    private val target: StreamPause,
    instanceCount: Int = 3,
    private val durationMillis: Long = 30_000,
    private val requestsPerSecond: Int = 12,
) {
    private val trackers = List(instanceCount) { RolloutTracker() }
    private val order = RolloutOrder("s", "v2", durationMillis, revision = 5)
    private val route =
        route(kind = RouteKind.Streaming(resumable = false, targetGapMillis = 300))
            .copy(targetLatencyMillis = 1_000, timeoutMillis = 5_000)
    private val servers =
        List(6) { server("old-$it").copy(softwareVersion = "v1") } +
            List(6) { server("new-$it").copy(softwareVersion = "v2") }
    private val streams = mutableListOf<Stream>()
    private var dueRequests = 0.0
    private var started = 0L

    var requests = 0
        private set

    var onTarget = 0
        private set

    var verdict = RolloutVerdict.IN_PROGRESS
        private set

    private inner class Stream(
        val tracker: RolloutTracker,
        val server: ServerEntry,
        startMillis: Long,
        pause: StreamPause?,
    ) {
        val progress = AttemptProgress(SilenceLimits.of(route, EXPECTED_MILLIS), startMillis)
        var lastEventMillis = startMillis
        val eventMillis = ArrayDeque<Long?>()

        init {
            var atMillis = startMillis + FIRST_EVENT_MILLIS
            for (event in 1..EVENTS) {
                eventMillis.addLast(atMillis)
                atMillis += GAP_MILLIS
                if (event != EVENTS_BEFORE_PAUSE || pause == null) continue
                if (pause.millis == null) break
                atMillis += pause.millis
            }
            if (pause != null && pause.millis == null) eventMillis.addLast(null)
        }

        /** Returns the outcome once the stream has ended. */
        fun advance(nowMillis: Long): ServerOutcome? {
            while (eventMillis.isNotEmpty()) {
                val dueMillis = eventMillis.first() ?: break
                if (dueMillis > nowMillis) break
                eventMillis.removeFirst()
                lastEventMillis = dueMillis
                progress.onEvents(1, dueMillis)
            }
            if (progress.detectStall(nowMillis)) tracker.onStalled(server, route.name)
            if (eventMillis.isEmpty()) return progress.answered(1_000.0, nowMillis)
            if (nowMillis - lastEventMillis < PATIENCE_MILLIS) return null
            return progress.abandoned(nowMillis)
        }
    }

    fun run(): StreamRolloutSimulation {
        trackers.forEach { it.onServers(servers, nowMillis = -WARM_UP_MILLIS) }
        for (atMillis in -WARM_UP_MILLIS until durationMillis step STEP_MILLIS) step(atMillis)
        return this
    }

    private fun step(nowMillis: Long) {
        if (nowMillis == 0L) trackers.forEach { it.onOrder(order, nowMillis) }
        dueRequests += requestsPerSecond * STEP_MILLIS / MILLIS_PER_SECOND
        while (dueRequests >= 1) {
            dueRequests--
            start(nowMillis)
        }
        streams.removeIf { stream ->
            val outcome = stream.advance(nowMillis) ?: return@removeIf false
            val counted = stream.progress.versionOutcome(outcome)
            stream.tracker.onRequestEnded(stream.server, route.name, counted, nowMillis)
            true
        }
        if (nowMillis >= 0 && nowMillis % REPORT_MILLIS == 0L) exchangeReports(nowMillis)
    }

    private fun start(nowMillis: Long) {
        val number = started++
        val tracker = trackers[(number % trackers.size).toInt()]
        val usesTarget = tracker.shouldUseTarget("s", route.name, trackers.size)
        val request = request(number).copy(usesTargetVersion = usesTarget)
        val known = servers.filter { nowMillis >= 0 || it.softwareVersion == "v1" }
        val candidates = tracker.select(known.map(::ServerRecord), request)
        val server = candidates[(number % candidates.size).toInt()].entry
        val isTarget = server.softwareVersion == "v2"
        if (nowMillis >= 0) requests++
        if (isTarget) onTarget++
        val pause = if (isTarget) target else old
        val hasPause = number * SPREAD % PERCENT < pause.streamPercent
        tracker.onRequestSent(server)
        streams += Stream(tracker, server, nowMillis, pause.takeIf { hasPause })
    }

    private fun exchangeReports(nowMillis: Long) {
        val ids = trackers.indices.map { "i$it" }
        val reports = trackers.map { it.reports(nowMillis) }
        trackers.forEachIndexed { index, tracker ->
            reports.forEachIndexed { peer, report ->
                if (peer != index) tracker.onPeerReport(ids[peer], report, nowMillis)
            }
            tracker.advance(nowMillis)
            val seen = tracker.verdicts((ids - ids[index]).toSet(), nowMillis).getValue(order)
            if (verdict == RolloutVerdict.IN_PROGRESS) verdict = seen
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val STEP_MILLIS = 20L
        const val REPORT_MILLIS = 160L
        const val WARM_UP_MILLIS = 8_000L
        const val EXPECTED_MILLIS = 100.0
        const val FIRST_EVENT_MILLIS = 80L
        const val GAP_MILLIS = 15L
        const val EVENTS = 13
        const val EVENTS_BEFORE_PAUSE = 3
        /** The longest of 2 s, four times the target and eight times the longest gap. */
        const val PATIENCE_MILLIS = 4_000L
        const val PERCENT = 100
        /** Spreads the streams that pause evenly over the servers. */
        const val SPREAD = 37
    }
}
