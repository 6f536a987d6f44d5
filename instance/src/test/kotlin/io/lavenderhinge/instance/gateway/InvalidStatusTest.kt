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
import java.util.concurrent.atomic.AtomicInteger

private const val SIGNATURE_FIELD = "X-Lavenderhinge-Server-Signature: s1\r\n"

private data class InvalidStatus(
    val path: String,
    val status: String,
    val isSigned: Boolean,
    val hasLength: Boolean,
    val fields: String = "",
) {
    val isStream = path == "/digest/" || path == "/draft/"
    val isRetryable = path == "/look/" || path == "/draft/"
    val name =
        "$path $status, ${if (isSigned) "signed" else "unsigned"}, " +
            "${if (hasLength) "with" else "without"} length $fields".trim()

    fun answer(request: String): ServerAction {
        val signed = rawResponse(request, "$status Trouble", "trouble", fields)
        val text = if (isSigned) signed else signed.replace(SIGNATURE_FIELD, "")
        return if (hasLength) Send(text) else SendAndClose(unframed(text))
    }
}

private val invalidStatuses =
    listOf("/book/", "/look/", "/digest/", "/draft/").flatMap { path ->
        listOf("000", "099", "600", "999").flatMap { status ->
            listOf(true, false).flatMap { isSigned ->
                listOf(true, false).map { InvalidStatus(path, status, isSigned, it) }
            }
        }
    }

private val refusals =
    invalidStatuses
        .filter { it.hasLength && it.isSigned }
        .map { it.copy(fields = "X-Lavenderhinge-Not-Executed: 1\r\n") }

private fun wholeAnswer(request: String, isStream: Boolean): ServerAction =
    if (isStream) Send(streamHead(request) + chunk(event(1)) + chunk(""))
    else Send(rawResponse(request, "200 OK", "whole"))

/** Guards against answers with a status outside 100..599, which is none, that reach a client. */
class InvalidStatusTest :
    FunSpec({
        context("given an answer with an invalid status, then it counts as lost") {
            withData(nameFn = { it.name }, invalidStatuses + refusals) { case ->
                val requests = AtomicInteger()
                val servers =
                    List(2) {
                        ScriptedBackendServer { request ->
                            if (requests.getAndIncrement() == 0) case.answer(request)
                            else wholeAnswer(request, case.isStream)
                        }
                    }

                val answer =
                    withGateway(*servers.toTypedArray()) {
                        it.upload(case.path + "1", "b", UploadFraming.LENGTH)
                    }

                if (!case.isRetryable) {
                    answer.status shouldBe 502
                    requests.get() shouldBe 1
                } else {
                    answer.status shouldBe 200
                    answer.content shouldBe if (case.isStream) event(1) else "whole"
                    requests.get() shouldBe 2
                }
            }
        }

        // Guards against a body of an invalid answer within a stream that has begun.
        test("given a begun stream, when its resumption has status 000, then it does not end") {
            val requests = AtomicInteger()
            val servers =
                List(2) {
                    ScriptedBackendServer { request ->
                        val head = streamHead(request)
                        if (requests.getAndIncrement() == 0) SendAndClose(head + chunk(event(1)))
                        else Send(head.replace("200 OK", "000 OK") + chunk(event(2)) + chunk(""))
                    }
                }

            val answer =
                withGateway(*servers.toTypedArray()) {
                    it.upload("/draft/1", "b", UploadFraming.CHUNKED)
                }

            answer.isWhole shouldBe false
            answer.content shouldBe event(1)
        }
    })
