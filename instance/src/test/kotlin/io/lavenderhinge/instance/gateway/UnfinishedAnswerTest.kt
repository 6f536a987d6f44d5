package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.chunk
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.rawResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.streamHead
import io.lavenderhinge.instance.gateway.ScriptedBackendServer.Companion.unframed
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendAndClose
import io.lavenderhinge.instance.gateway.ServerAction.SendAndReset
import io.lavenderhinge.instance.gateway.ServerAction.SendOnSignal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

/** The buffers of a connection hold up to 4 MB, by the usual limit of Linux, and 64 KB. */
private const val LONG_UPLOAD_CHARS = 12_000_000

private const val SHORT_UPLOAD_CHARS = 10

/** A request to a server that breaks off its first answer, and what its client must receive. */
private data class Case(
    val path: String,
    val framing: UploadFraming,
    val isKept: Boolean,
    val isLong: Boolean,
) {
    val isStream = path == "/digest/" || path == "/draft/"
    val isRetryable = path == "/look/" || path == "/draft/"
    val body = "b".repeat(if (isLong) LONG_UPLOAD_CHARS else SHORT_UPLOAD_CHARS)
    val name =
        "$path, ${if (isLong) "long" else "short"} upload by ${framing.name.lowercase()}, " +
            if (isKept) "kept connection" else "new connection"
}

private val cases =
    listOf("/book/", "/look/", "/digest/", "/draft/").flatMap { path ->
        UploadFraming.entries.flatMap { framing ->
            listOf(false, true).flatMap { isKept ->
                listOf(false, true).map { isLong -> Case(path, framing, isKept, isLong) }
            }
        }
    }

private const val PART = "part of the body"

/** The head of a signed success and a part of its body, without any framing. */
private fun unfinishedAnswer(request: String, case: Case): String =
    if (case.isStream) unframed(streamHead(request)) + event(1)
    else unframed(rawResponse(request, "200 OK", "")) + PART

private fun wholeAnswer(request: String, case: Case): String =
    if (case.isStream) streamHead(request) + chunk(event(1)) + chunk(event(2)) + chunk("")
    else rawResponse(request, "200 OK", "whole")

/** Two servers of which the first that gets the upload breaks off its answer. */
private class Servers(case: Case, end: (String) -> ServerAction) : AutoCloseable {
    private val isBroken = AtomicBoolean()

    /** Holds back the answers to first requests, so that they go to different servers. */
    @Volatile private var bothArrived = CountDownLatch(0)

    val all =
        List(if (case.isRetryable) 2 else 1) {
            ScriptedBackendServer { request ->
                    if ("/first" in request) {
                        bothArrived.countDown()
                        SendOnSignal("", bothArrived, rawResponse(request, "200 OK", "first"))
                    } else if (!case.isLong && isBroken.compareAndSet(false, true))
                        end(unfinishedAnswer(request, case))
                    else Send(wholeAnswer(request, case))
                }
                .apply {
                    onHead = { head ->
                        val breaksOff =
                            case.isLong && "/first" !in head && isBroken.compareAndSet(false, true)
                        if (breaksOff) end(unfinishedAnswer(head, case)) else null
                    }
                }
        }

    /** Leaves an idle connection to each server. */
    suspend fun openConnections(gateway: GatewayHarness) {
        repeat(MAX_ROUNDS) {
            if (all.all { it.connectionCount > 0 }) return
            bothArrived = CountDownLatch(all.size)
            coroutineScope { all.forEach { _ -> launch { gateway.call("/look/first") } } }
        }
        error("a server got none of the first requests")
    }

    val connectionCount: Int
        get() = all.sumOf { it.connectionCount }

    val uploadCount: Int
        get() = all.sumOf { server -> server.requests.count { "/first" !in it } }

    override fun close() = all.forEach { it.close() }

    private companion object {
        const val MAX_ROUNDS = 20
    }
}

private class Outcome(val answer: RawAnswer, val uploadCount: Int, val newConnectionCount: Int)

private suspend fun runCase(case: Case, end: (String) -> ServerAction): Outcome =
    Servers(case, end).use { servers ->
        GatewayHarness(*servers.all.toTypedArray()).use { gateway ->
            if (case.isKept) servers.openConnections(gateway)
            val connectionCount = servers.connectionCount
            val answer = gateway.upload(case.path + "1", case.body, case.framing)
            Outcome(answer, servers.uploadCount, servers.connectionCount - connectionCount)
        }
    }

/**
 * Guards against a part of an answer that passes for a whole one: without a length or chunks, only
 * an orderly close of the connection shows that the answer is complete.
 */
class UnfinishedAnswerTest :
    FunSpec({
        context("given an answer without a length that is reset, then no client gets it as whole") {
            withData(nameFn = { it.name }, cases) { case ->
                val outcome = runCase(case) { SendAndReset(it) }
                val answer = outcome.answer

                when {
                    // Its first event may have been passed on, so its end must be visibly missing.
                    case.path == "/digest/" && !case.isLong -> answer.isWhole shouldBe false
                    !case.isRetryable -> answer.status shouldBe 502
                    case.isStream -> answer.content shouldBe event(1) + event(2)
                    else -> answer.content shouldBe "whole"
                }
                if (case.isRetryable) answer.isWhole shouldBe true
                val serverCount = if (case.isRetryable) 2 else 1
                outcome.uploadCount shouldBe serverCount
                if (case.isKept) outcome.newConnectionCount shouldBe 0
            }
        }

        // Guards against a fix that rejects answers whose end is the orderly close.
        context("given an answer without a length that is closed in order, then it is whole") {
            withData(nameFn = { it.name }, cases.filter { !it.isLong }) { case ->
                val outcome = runCase(case) { SendAndClose(it) }
                val answer = outcome.answer

                answer.status shouldBe 200
                answer.isWhole shouldBe true
                answer.content shouldBe if (case.isStream) event(1) else PART
                outcome.uploadCount shouldBe 1
                if (case.isKept) outcome.newConnectionCount shouldBe 0
            }
        }
    })
