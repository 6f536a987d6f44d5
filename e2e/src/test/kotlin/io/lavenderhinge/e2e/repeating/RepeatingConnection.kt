package io.lavenderhinge.e2e.repeating

import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.toImmutableList

/** A connection of a [RepeatingServer]. Answers and copies are never interleaved. */
internal class RepeatingConnection(
    private val serverId: String,
    private val socket: Socket,
    private val planner: AnswerPlanner,
    private val log: ServerLog,
    private val timer: ScheduledExecutorService,
) {
    private val input = BufferedInputStream(socket.getInputStream())
    private val output = socket.getOutputStream()
    private val closed = CountDownLatch(1)
    private val pending = mutableListOf<PendingCopy>()
    private val precedingKinds = mutableListOf<String>()

    private class PendingCopy(val plan: CopyPlan, val kind: String, val bytes: AnswerBytes) {
        var remainingRequestCount = plan.skippedRequestCount
        var sentBytes = 0

        /** The part of the head that is sent. */
        val sentHead: ByteArray
            get() =
                if (plan.extent == CopyExtent.HEAD_BREAKS_OFF) {
                    bytes.head.copyOf((bytes.head.size * plan.headShare).toInt())
                } else {
                    bytes.head
                }

        /** The part of the body that is sent. */
        val sentBody: ByteArray
            get() =
                when (plan.extent) {
                    CopyExtent.WHOLE -> bytes.body
                    CopyExtent.HEAD_BREAKS_OFF -> ByteArray(0)
                    CopyExtent.BODY_BREAKS_OFF,
                    CopyExtent.BODY_BREAKS_OFF_AND_CLOSES -> bytes.body.copyOf(bytes.body.size / 2)
                }
    }

    /** Answers requests until the peer closes the connection. */
    fun serve() {
        try {
            while (true) {
                val head = readHead(input) ?: return
                answer(ServerRequest(head, readBody(input, head)))
            }
        } finally {
            closed.countDown()
        }
    }

    private fun answer(request: ServerRequest) {
        synchronized(output) { sendDue { it is CopyTiming.AtRequest || isBegun(it) } }
        val plan = planner.plan(request.id, serverId)
        val answer = answerTo(request, serverId, plan)
        if (answer.hasRun) log.onRun(request.id)
        pause(plan.executionMillis)
        synchronized(output) {
            sendDue { it is CopyTiming.BeforeAnswer }
            pending.forEach { it.remainingRequestCount-- }
            log.onAnswer(answer.copy(precedingCopies = precedingKinds.toImmutableList()))
            precedingKinds.clear()
            sendOriginal(answer, plan)
            prepareCopies(answer, plan)
        }
    }

    private fun sendOriginal(answer: ServedAnswer, plan: AnswerPlan) {
        val hasId = plan.outcome != AnswerOutcome.REFUSAL_WITHOUT_ID
        val bytes = renderAnswer(answer, plan, hasId)
        send(bytes.head)
        bytes.bodyPieces.forEach {
            pause(plan.bodyPauseMillis)
            send(it)
        }
    }

    private fun prepareCopies(answer: ServedAnswer, plan: AnswerPlan) {
        plan.copies.forEach { copyPlan ->
            val bytes = renderAnswer(answer, plan, copyPlan.hasId)
            repeat(copyPlan.count) {
                prepare(PendingCopy(copyPlan, copyPlan.describe(plan.outcome), bytes))
            }
        }
    }

    private fun prepare(copy: PendingCopy) {
        when (val timing = copy.plan.timing) {
            is CopyTiming.AtRequest,
            is CopyTiming.BeforeAnswer -> pending += copy
            is CopyTiming.BegunEarly -> {
                // A second copy can begin only after the first one.
                if (pending.none { it.sentBytes > 0 }) begin(copy, timing.sizeBytes)
                pending += copy
            }
            is CopyTiming.After ->
                timer.schedule({ sendTimed(copy) }, timing.millis, TimeUnit.MILLISECONDS)
        }
    }

    private fun begin(copy: PendingCopy, sizeBytes: Int) {
        val all = copy.sentHead + copy.sentBody
        // The last byte is left, so that the copy is complete only at a later request.
        copy.sentBytes = minOf(sizeBytes, maxOf(all.size - 1, 0))
        copy.remainingRequestCount = 0
        send(all.copyOf(copy.sentBytes))
    }

    private fun sendTimed(copy: PendingCopy) {
        try {
            synchronized(output) { if (pending.none { it.sentBytes > 0 }) send(copy) }
        } catch (_: IOException) {
            // The connection has been closed in the meantime.
        }
    }

    private fun isBegun(timing: CopyTiming) = timing is CopyTiming.BegunEarly

    private fun sendDue(isDue: (CopyTiming) -> Boolean) {
        val due = pending.filter { isDue(it.plan.timing) && it.remainingRequestCount <= 0 }
        // Bytes that were begun early have to be completed first.
        due.sortedByDescending { it.sentBytes }.forEach(::send)
        pending -= due.toSet()
    }

    private fun send(copy: PendingCopy) {
        log.onCopy(copy.kind)
        precedingKinds += copy.kind
        val head = copy.sentHead
        if (copy.sentBytes > 0 || copy.plan.bodyPauseMillis == 0L) {
            val all = head + copy.sentBody
            send(all.copyOfRange(minOf(copy.sentBytes, all.size), all.size))
        } else {
            send(head)
            pause(copy.plan.bodyPauseMillis)
            send(copy.sentBody)
        }
        if (copy.plan.extent == CopyExtent.BODY_BREAKS_OFF_AND_CLOSES) socket.close()
    }

    private fun send(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    private fun pause(millis: Long) {
        if (millis > 0) closed.await(millis, TimeUnit.MILLISECONDS)
    }
}
