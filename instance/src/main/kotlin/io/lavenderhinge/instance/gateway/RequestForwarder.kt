package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.RequestAdmission
import io.lavenderhinge.core.forwarding.RequestDescription
import io.lavenderhinge.core.forwarding.ServiceRetryBudget
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.InFlightCounter
import io.lavenderhinge.platform.ClientRequestHeaders
import kotlin.random.Random

/** What requests share. Confined to the traffic thread. */
internal class ForwardingServices(
    val loop: TrafficLoop,
    val client: HttpClient,
    val broker: SlotBroker,
    val repeats: ServiceRetryBudget,
    val journal: RequestJournal,
    val instanceCount: () -> Int,
    /** Output tokens in one event of a stream of a service. */
    val tokensPerEvent: (service: String) -> Int,
    val random: Random = Random.Default,
)

/** Serves the clients of the platform. */
internal class RequestForwarder(
    private val services: ForwardingServices,
    private val configuration: ConfigurationHolder,
    private val admission: RequestAdmission,
    private val gate: StartGate,
) : HttpHandler {
    private val inFlight = InFlightCounter()

    /** Requests that have been read and not answered. */
    val inFlightCount: Int
        get() = inFlight.count

    override suspend fun handle(exchange: HttpExchange) = inFlight.counted { decide(exchange) }

    private suspend fun decide(exchange: HttpExchange) {
        val arrivedMillis = services.loop.nowMillis()
        val facts = ClientRequestHeaders.read(exchange.request.headers)
        val description =
            RequestDescription(
                host = exchange.request.header("Host").orEmpty().substringBefore(':'),
                path = exchange.request.path,
                credential = facts.credential,
                tokens = facts.promptTokens?.let { it + (facts.maxOutputTokens ?: 0) },
            )
        gate.await(facts.remainingMillis ?: DEFAULT_REMAINING_MILLIS)
        when (val result = admission.decide(configuration.view(), description, arrivedMillis)) {
            is Admission.Admitted ->
                ForwardedRequest(services, exchange, result, facts, arrivedMillis).run()
            is Admission.Rejected -> {
                services.journal.rejected(facts, description.host, description.path, result)
                exchange.respond(problem(result))
            }
        }
    }

    private companion object {
        const val DEFAULT_REMAINING_MILLIS = 1_000L
    }
}
