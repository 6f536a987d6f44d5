package io.lavenderhinge.core.routing

import io.lavenderhinge.core.Tier
import io.lavenderhinge.core.scheduling.AskKey
import io.lavenderhinge.core.scheduling.HomeDirectory
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.core.scheduling.Invariants
import io.lavenderhinge.core.scheduling.RefusalReason
import io.lavenderhinge.core.scheduling.SlotAsk
import kotlin.random.Random

/**
 * Finds a slot for each request of one entry: asks the best home, a second one when the first
 * queues, and escalates before an interactive request is shed.
 *
 * Deterministic for a given [random]. Each request ends with exactly one [EntryEffect.Granted] or
 * [EntryEffect.Refused], unless it is released first.
 */
class EntryRouter(
    private val selfId: String,
    failureDomain: String,
    private val random: Random,
    private val settings: RoutingSettings = RoutingSettings(),
    private val invariants: Invariants = Invariants(),
) {
    private val directory = HomeDirectory()
    private val selection = ServerSelection(failureDomain, settings)
    private val budget = RetryBudget()

    /** Where requests would go now, for operators. */
    val standings = Standings(selection, directory)
    private val refusals = RefusalPolicy(settings, random)
    private val pending = LinkedHashMap<String, PendingRequest>()
    private val held = HeldSlots(settings, directory, selection, ::send)
    private val requestByAsk = HashMap<String, String>()

    // Slots of an earlier process under the same instance id must not be taken for its own.
    private var askNumber = random.nextLong(1L shl ASK_NUMBER_BITS)
    private var isClosed = false
    private val effects = ArrayList<EntryEffect>()

    /** Handles [event] and returns what to do, in order. */
    fun handle(event: EntryEvent, nowMillis: Long): List<EntryEffect> {
        effects.clear()
        when (event) {
            is EntryEvent.Requested -> requested(event.request, nowMillis)
            is EntryEvent.Released -> released(event.requestId)
            is EntryEvent.Finished -> held.finished(event.requestId, event.result, nowMillis)
            is EntryEvent.HomeAnswered -> answered(event, nowMillis)
            is EntryEvent.LinkLost -> linkLost(event.instanceId, nowMillis)
            is EntryEvent.ViewChanged -> viewChanged(event, nowMillis)
            is EntryEvent.SummariesReceived -> summarized(event.summaries, nowMillis)
            is EntryEvent.CacheChanged -> selection.prefixes.changed(event.serverId, event.events)
            EntryEvent.Tick -> tick(nowMillis)
            EntryEvent.Closed -> {
                isClosed = true
                pending.values.toList().forEach { shed(it, refusals.shutdown()) }
            }
        }
        return effects.toList()
    }

    private fun requested(request: SlotRequest, nowMillis: Long) {
        budget.requested(request.workspace, nowMillis)
        val refusal =
            when {
                isClosed -> refusals.shutdown()
                request.attempt > 0 && !mayRetry(request, nowMillis) -> refusals.retryBudget()
                else -> null
            }
        if (refusal != null) {
            effects += EntryEffect.Refused(request.requestId, refusal)
            return
        }
        val waiting = PendingRequest(request)
        pending[request.requestId] = waiting
        advance(waiting, nowMillis)
    }

    /** Charges the budget; it must not shed an interactive request while lower tiers run. */
    private fun mayRetry(request: SlotRequest, nowMillis: Long): Boolean =
        budget.take(request.workspace, nowMillis) || request.tier == Tier.INTERACTIVE

    /** Takes the next step for a request that no home considers. */
    private fun advance(waiting: PendingRequest, nowMillis: Long) {
        if (waiting.asks.values.any { !it.isSilent }) return
        val best =
            if (waiting.askCount >= settings.maxAsks(waiting.request.tier)) null
            else selection.best(waiting, nowMillis)
        when {
            best != null -> ask(waiting, best.book, false, nowMillis)
            waiting.asks.isNotEmpty() -> return
            !escalate(waiting, nowMillis) -> endRound(waiting, nowMillis)
        }
    }

    private fun ask(
        waiting: PendingRequest,
        book: ServerBook,
        mayPreempt: Boolean,
        nowMillis: Long,
    ) {
        val serverId = book.view.id
        val homeId = directory.homeOf(serverId)
        waiting.askCount++
        if (homeId == null) {
            book.avoidUntil(nowMillis + settings.answerMillis)
            waiting.refusals[serverId] = HomeEffect.Refuse(selfId, "", RefusalReason.NOT_HOME, 0, 0)
            return advance(waiting, nowMillis)
        }
        val ask = slotAsk(waiting, mayPreempt)
        requestByAsk[ask.askId] = waiting.request.requestId
        waiting.asks[ask.askId] = OpenAsk(ask, serverId, homeId, nowMillis)
        send(homeId, serverId, HomeEvent.Asked(ask))
    }

    private fun slotAsk(waiting: PendingRequest, mayPreempt: Boolean): SlotAsk {
        val request = waiting.request
        return SlotAsk(
            // Short, because it is in every message about the request.
            askId = (askNumber++).toString(Character.MAX_RADIX),
            entryId = selfId,
            tier = request.tier,
            workspace = request.workspace,
            weight = request.weight,
            promptTokens = request.promptTokens,
            outputTokens = request.outputTokens,
            deadlineMillis = request.deadlineMillis,
            prefixHashes = waiting.prefixHashes,
            firstTokenDueMillis = request.firstTokenDueMillis,
            mayPreempt = mayPreempt,
        )
    }

    /** Before an interactive request is shed, homes that serve a lower tier must give way. */
    private fun escalate(waiting: PendingRequest, nowMillis: Long): Boolean {
        if (waiting.request.tier != Tier.INTERACTIVE) return false
        val candidate =
            waiting.refusals
                .filter { it.value.lowerTierCount > 0 && it.key !in waiting.preemptAsked }
                .maxByOrNull { it.value.lowerTierCount } ?: return false
        val book = selection[candidate.key] ?: return false
        waiting.preemptAsked += candidate.key
        ask(waiting, book, true, nowMillis)
        return true
    }

    private fun endRound(waiting: PendingRequest, nowMillis: Long) {
        val request = waiting.request
        val refusal =
            if (selection.live(request).isEmpty()) refusals.noServer(request)
            else refusals.afterRound(waiting)
        val mayWait = refusals.mayWait(refusal, waiting, nowMillis)
        if (mayWait && budget.take(request.workspace, nowMillis)) {
            waiting.startRound(nowMillis + refusals.backoffMillis(waiting))
            return
        }
        shed(waiting, refusal)
    }

    private fun shed(waiting: PendingRequest, refusal: SlotRefusal) {
        invariants.check(!refusals.isUnjust(waiting)) {
            "request ${waiting.request.requestId} was shed while a home serves a lower tier"
        }
        pending.remove(waiting.request.requestId)
        releaseAsks(waiting)
        effects += EntryEffect.Refused(waiting.request.requestId, refusal)
    }

    private fun released(requestId: String) {
        pending.remove(requestId)?.let { releaseAsks(it) }
        held.released(requestId)
    }

    private fun answered(event: EntryEvent.HomeAnswered, nowMillis: Long) {
        val waiting = requestByAsk[event.message.askId]?.let { pending[it] }
        val ask = waiting?.asks?.get(event.message.askId)
        when (val message = event.message) {
            is HomeEffect.Grant ->
                if (waiting == null || ask == null) rejectGrant(event)
                else granted(waiting, ask, message, nowMillis)
            is HomeEffect.Queued ->
                if (waiting != null && ask != null) queued(waiting, ask, message, nowMillis)
            is HomeEffect.Refuse ->
                if (waiting != null && ask != null) refused(waiting, ask, message, nowMillis)
            is HomeEffect.Preempt ->
                held.requestOf(message.askId)?.let { effects += EntryEffect.Preempted(it) }
        }
    }

    /** A grant for an ask that was withdrawn meanwhile. */
    private fun rejectGrant(event: EntryEvent.HomeAnswered) {
        if (held.requestOf(event.message.askId) != null) return
        send(event.homeId, event.serverId, HomeEvent.Released(AskKey(selfId, event.message.askId)))
    }

    private fun granted(
        waiting: PendingRequest,
        ask: OpenAsk,
        grant: HomeEffect.Grant,
        nowMillis: Long,
    ) {
        val request = waiting.request
        forget(waiting, ask)
        pending.remove(request.requestId)
        releaseAsks(waiting)
        val book = selection[ask.serverId]
        if (book == null) {
            send(ask.homeId, ask.serverId, HomeEvent.Released(ask.ask.key))
            pending[request.requestId] = waiting
            return advance(waiting, nowMillis)
        }
        invariants.check(request.requestId !in held) { "${request.requestId} got two slots" }
        val prefillTokens = (request.promptTokens - grant.cachedPrefixTokens).coerceAtLeast(0)
        book.waitLearned(request.tier, nowMillis - ask.sentAtMillis, nowMillis)
        book.dispatched(prefillTokens, nowMillis)
        selection.prefixes.corrected(ask.serverId, request.prefixHashes, grant.cachedPrefixTokens)
        selection.prefixes.dispatched(ask.serverId, waiting.prefixHashes)
        held.add(HeldSlot(request, ask.ask, ask.serverId, ask.homeId, prefillTokens, nowMillis))
        effects += EntryEffect.Granted(request.requestId, book.view, grant.cachedPrefixTokens)
    }

    private fun queued(
        waiting: PendingRequest,
        ask: OpenAsk,
        message: HomeEffect.Queued,
        nowMillis: Long,
    ) {
        ask.queuedWaitMillis = message.expectedWaitMillis
        ask.isSilent = false
        selection[ask.serverId]?.waitLearned(
            waiting.request.tier,
            message.expectedWaitMillis,
            nowMillis,
        )
        if (waiting.asks.size > 1 || waiting.askCount >= settings.maxAsks(waiting.request.tier))
            return
        val second = selection.best(waiting, nowMillis) ?: return
        ask(waiting, second.book, ask.ask.mayPreempt, nowMillis)
    }

    private fun refused(
        waiting: PendingRequest,
        ask: OpenAsk,
        message: HomeEffect.Refuse,
        nowMillis: Long,
    ) {
        forget(waiting, ask)
        waiting.refusals[ask.serverId] = message
        val book = selection[ask.serverId]
        when (message.reason) {
            RefusalReason.SERVER_DOWN,
            RefusalReason.SERVER_LEAVING -> book?.avoidUntil(nowMillis + settings.avoidMillis)
            RefusalReason.NOT_HOME,
            RefusalReason.SHUTDOWN -> book?.avoidUntil(nowMillis + settings.answerMillis)
            else -> book?.waitLearned(waiting.request.tier, message.expectedWaitMillis, nowMillis)
        }
        advance(waiting, nowMillis)
    }

    private fun linkLost(instanceId: String, nowMillis: Long) {
        directory.linkLost(instanceId, nowMillis)
        held.linkLost(instanceId)
        rehome(nowMillis) { it.homeId == instanceId }
    }

    private fun viewChanged(event: EntryEvent.ViewChanged, nowMillis: Long) {
        selection.viewChanged(event.servers)
        directory.viewChanged(event.instances, event.servers, nowMillis)
        rehome(nowMillis) { false }
    }

    /** Registers held slots with new homes and asks again where [isLost] or the home changed. */
    private fun rehome(nowMillis: Long, isLost: (OpenAsk) -> Boolean) {
        held.rehome()
        for (waiting in pending.values.toList()) {
            for (ask in waiting.asks.values.toList()) {
                if (!isLost(ask) && directory.homeOf(ask.serverId) == ask.homeId) continue
                forget(waiting, ask)
                if (!isLost(ask)) send(ask.homeId, ask.serverId, HomeEvent.Released(ask.ask.key))
            }
            advance(waiting, nowMillis)
        }
    }

    private fun summarized(summaries: List<HomeSummary>, nowMillis: Long) {
        for (summary in summaries) {
            selection[summary.serverId]?.summaryReceived(
                summary.sequence,
                summary.expectedWaitMillis,
                nowMillis,
            )
        }
    }

    private fun tick(nowMillis: Long) {
        if (directory.tick(nowMillis)) rehome(nowMillis) { false }
        budget.cleanUp(nowMillis)
        held.confirm(nowMillis)
        for (waiting in pending.values.toList()) wait(waiting, nowMillis)
    }

    private fun wait(waiting: PendingRequest, nowMillis: Long) {
        if (nowMillis >= waiting.request.deadlineMillis) {
            return shed(waiting, refusals.deadline(waiting))
        }
        if (nowMillis < waiting.resumeAtMillis) return
        for (ask in waiting.asks.values) {
            if (ask.queuedWaitMillis != null || ask.isSilent) continue
            if (nowMillis - ask.sentAtMillis < settings.answerMillis) continue
            ask.isSilent = true
            selection[ask.serverId]?.avoidUntil(nowMillis + settings.avoidMillis)
        }
        advance(waiting, nowMillis)
    }

    private fun releaseAsks(waiting: PendingRequest) {
        for (ask in waiting.asks.values.toList()) {
            forget(waiting, ask)
            send(ask.homeId, ask.serverId, HomeEvent.Released(ask.ask.key))
        }
    }

    private fun forget(waiting: PendingRequest, ask: OpenAsk) {
        waiting.asks.remove(ask.ask.askId)
        requestByAsk.remove(ask.ask.askId)
    }

    private fun send(homeId: String, serverId: String, event: HomeEvent) {
        effects += EntryEffect.Send(homeId, serverId, event)
    }

    private companion object {
        const val ASK_NUMBER_BITS = 30
    }
}
