package io.lavenderhinge.instance.quarantine

import io.lavenderhinge.core.quarantine.CrashSuspect
import io.lavenderhinge.core.quarantine.CrashedRuns
import io.lavenderhinge.core.quarantine.QuarantineDecision
import io.lavenderhinge.core.quarantine.RequestContent
import io.lavenderhinge.core.quarantine.RequestQuarantine
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Frame
import kotlinx.coroutines.withContext

/**
 * Runs the quarantine of prompt parts on the control thread and exchanges its reports with the
 * other live instances.
 */
internal class QuarantineService(
    private val links: PeerLinks,
    private val control: ControlThread,
    private val liveInstances: () -> List<String>,
) : PromptGuard {
    private val quarantine = RequestQuarantine(control.random)
    private val quarantineLog = QuarantineLog()
    private val runs = CrashedRuns()

    // Spares requests a change of threads while there is nothing to decide.
    @Volatile private var isIdle = true

    @Volatile
    override var revision = 0
        private set

    /** Hashes of the parts that this instance has quarantined, for the status page. */
    val parts: List<String>
        get() = quarantineLog.parts

    /** Starts to receive and send reports. Call it on the control thread. */
    fun start() {
        quarantine.onChange = quarantineLog::onChange
        links.onFrame { _, frame -> receive(frame) }
        control.every(REPORT_MILLIS) { report() }
    }

    override suspend fun blockedPart(model: String, partIds: List<String>): String? {
        if (isIdle) return null
        return withContext(control.scope.coroutineContext) { decide(model, partIds) }
    }

    private fun decide(model: String, partIds: List<String>): String? {
        val peerCount = peers().size
        // An engine gets each request once, so no request has lost an engine before.
        val decision =
            quarantine.decide(
                model,
                RequestContent(partIds),
                hasLostServer = false,
                peerCount,
                control.nowMillis(),
            )
        return when (decision) {
            is QuarantineDecision.Admit -> null
            is QuarantineDecision.Quarantined -> partIdOf(decision.content)
            is QuarantineDecision.Suspected -> partIdOf(decision.content)
        }
    }

    private fun partIdOf(content: CrashSuspect): String? =
        when (content) {
            is CrashSuspect.Part -> content.id
            is CrashSuspect.Request -> null
        }

    override fun recordCrash(serverId: String, model: String, partIds: List<String>) = update {
        quarantine.onCrash(
            runs.onCrash(serverId, control.nowMillis()),
            model,
            RequestContent(partIds),
            control.nowMillis(),
        )
    }

    override fun recordAnswer(model: String, partIds: List<String>) = update {
        quarantine.onAnswered(model, RequestContent(partIds), control.nowMillis())
    }

    private fun receive(frame: Frame) {
        if (frame.bodyCase != Frame.BodyCase.CRASH_OBSERVATIONS) return
        quarantine.onPeerReport(frame.crashObservations.toReport(), control.nowMillis())
        publishState()
    }

    private fun report() {
        val report = quarantine.report(control.nowMillis())
        publishState()
        if (report == null) return
        val frame = Frame.newBuilder().setCrashObservations(report.toMessage()).build()
        peers().forEach { links.send(it, frame) }
    }

    private fun peers(): List<String> = liveInstances().filter { it != links.selfId }

    private fun update(action: () -> Unit) =
        control.execute {
            action()
            publishState()
        }

    private fun publishState() {
        isIdle = quarantine.isIdle
        revision = quarantine.revision
    }

    private companion object {
        const val REPORT_MILLIS = 100L
    }
}
