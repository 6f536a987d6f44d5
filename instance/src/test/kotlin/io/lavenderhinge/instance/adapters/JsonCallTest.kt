package io.lavenderhinge.instance.adapters

import arrow.core.Either
import arrow.core.merge
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.lavenderhinge.adapters.CallBudget
import io.lavenderhinge.adapters.HttpKeyValueStore
import io.lavenderhinge.adapters.HttpLiveList
import io.lavenderhinge.adapters.HttpModelEngine
import io.lavenderhinge.adapters.HttpWeightStore
import io.lavenderhinge.core.port.EngineAction
import io.lavenderhinge.core.port.EngineFault
import io.lavenderhinge.core.port.EngineOrder
import io.lavenderhinge.core.port.LiveListFault
import io.lavenderhinge.core.port.LoadReport
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.instance.dispatch.ownResponse
import io.lavenderhinge.instance.gateway.ScriptedBackendServer
import io.lavenderhinge.instance.gateway.ServerAction.Send
import io.lavenderhinge.instance.gateway.ServerAction.SendTwice
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress

private const val FIRST_REPORT =
    """{"running":1,"waiting":0,"contextTokens":5,"version":"1","ageMillis":0}"""
private const val SECOND_REPORT =
    """{"running":2,"waiting":0,"contextTokens":9,"version":"1","ageMillis":0}"""

/** An answer of a server: its status line and its body. */
private data class Answer(val status: String, val body: String)

/** Two calls after each other, the answers of the server and the results that belong to them. */
private class TwoCalls(
    val name: String,
    val answers: List<Answer>,
    val results: List<Any?>,
    val call: suspend (HttpClient, InetSocketAddress, number: Int) -> Either<Any, Any?>,
)

private fun ok(body: String) = Answer("200 OK", body)

private fun store(client: HttpClient, address: InetSocketAddress): HttpKeyValueStore {
    val budget = CallBudget(callsPerSecond = 1_000.0, burst = 1_000.0)
    return HttpKeyValueStore(client, address, budget, budget)
}

private val engineCalls =
    listOf(
        TwoCalls(
            "load report",
            listOf(ok(FIRST_REPORT), ok(SECOND_REPORT)),
            listOf(LoadReport(1, 0, 5, "1", 0), LoadReport(2, 0, 9, "1", 0)),
        ) { client, address, _ ->
            HttpModelEngine(client, address).load()
        },
        TwoCalls(
            "order",
            listOf(ok("{}"), Answer("412 Fenced", """{"currentFencingNumber":9}""")),
            listOf(Unit, EngineFault.Fenced(9)),
        ) { client, address, number ->
            HttpModelEngine(client, address)
                .order(EngineOrder(EngineAction.UNLOAD, "$number", number.toLong()))
        },
    )

private val platformCalls =
    listOf(
        TwoCalls(
            "read",
            listOf(
                ok("""{"key":"k0","value":"a","version":1}"""),
                ok("""{"key":"k1","value":"b","version":2}"""),
            ),
            listOf(VersionedValue("k0", "a", 1), VersionedValue("k1", "b", 2)),
        ) { client, address, number ->
            store(client, address).get("k$number")
        },
        TwoCalls(
            "conditional write",
            listOf(ok("""{"version":7}"""), Answer("409 Conflict", """{"current":null}""")),
            listOf(7L, StoreFault.Conflict(null)),
        ) { client, address, number ->
            store(client, address).compareAndSwap("k$number", 0, "v")
        },
        TwoCalls(
            "live list",
            listOf(ok("[]"), Answer("500 Failed", "")),
            listOf(emptyList<Any>(), LiveListFault("the live list responded with status 500")),
        ) { client, address, _ ->
            HttpLiveList(client, address, CallBudget(1_000.0, 1_000.0)).fetch()
        },
        TwoCalls("weights", listOf(ok("{}"), Answer("404 None", "")), listOf(true, false)) {
            client,
            address,
            number ->
            HttpWeightStore(client, address).hasWeights("m", "$number")
        },
    )

class JsonCallTest :
    FunSpec({
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        afterSpec { group.shutdownGracefully() }

        suspend fun resultsOf(calls: TwoCalls, server: ScriptedBackendServer): List<Any?> {
            val client = HttpClient(group)
            val address = InetSocketAddress("127.0.0.1", server.port)
            return List(2) { calls.call(client, address, it).merge() }
        }

        // Guards against the answer to one call that is taken for the answer to the next one.
        listOf(true, false).forEach { repeatsId ->
            val server = if (repeatsId) "repeats ids" else "does not repeat ids"
            context("given a server that $server and answers twice, then calls get their own") {
                withData(nameFn = { it.name }, engineCalls + platformCalls) { calls ->
                    val answers = calls.answers.iterator()
                    val server = ScriptedBackendServer {
                        val answer = answers.next()
                        SendTwice(ownResponse(it, answer.body, answer.status, repeatsId))
                    }

                    val results = server.use { resultsOf(calls, it) }

                    results shouldBe calls.results
                }
            }
        }

        // Guards against a new connection for each call.
        test("given a server that repeats ids, then the connection is kept") {
            val server = ScriptedBackendServer { Send(ownResponse(it, FIRST_REPORT)) }

            server.use { resultsOf(engineCalls.first(), it) }

            server.connectionCount shouldBe 1
        }
    })
