package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.Admission
import io.lavenderhinge.core.forwarding.QuotaCharge
import io.lavenderhinge.core.forwarding.RequestAdmission
import io.lavenderhinge.core.forwarding.RequestDescription
import io.lavenderhinge.core.forwarding.ServerEntry
import io.lavenderhinge.core.forwarding.ServiceRetryBudget
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpHandler
import io.lavenderhinge.http.InFlightCounter
import io.lavenderhinge.platform.ClientRequestHeaders
import kotlin.random.Random
import kotlinx.coroutines.delay

/** Dependencies shared by all requests. Confined to the traffic thread. */
internal class ForwardingContext(
    val loop: TrafficLoop,
    val client: HttpClient,
    val allocator: SlotAllocator,
    val retryBudget: ServiceRetryBudget,
    val requestLog: RequestLog,
    val instanceCount: () -> Int,
    /** Number of output tokens per stream event of a service. */
    val tokensPerEvent: (service: String) -> Int,
    val random: Random = Random.Default,
    val ignoredStatements: IgnoredStatements = IgnoredStatements(),
    /** Returns whether a request may be sent to a server at this moment. */
    val maySendTo: (ServerEntry) -> Boolean = { true },
    /** Returns what a request for a service was charged, unless quotas count all requests. */
    val returnCharge: (service: String, charge: QuotaCharge) -> Boolean = { _, _ -> false },
)

/** Admits client requests and forwards them to backend servers. */
internal class RequestForwarder(
    private val context: ForwardingContext,
    private val configuration: ConfigurationHolder,
    private val admission: RequestAdmission,
    private val gate: ReadinessGate,
) : HttpHandler {
    private val inFlight = InFlightCounter()
    private val forwarded = HashSet<ForwardedRequest>()

    init {
        configuration.onChange = { table ->
            context.loop.execute { forwarded.forEach { it.onConfigurationChanged(table) } }
        }
    }

    /** Number of requests that have been received but not answered. */
    val inFlightCount: Int
        get() = inFlight.count

    override suspend fun handle(exchange: HttpExchange) =
        inFlight.counted { admitAndForward(exchange) }

    private suspend fun admitAndForward(exchange: HttpExchange) {
        val arrivedMillis = context.loop.nowMillis()
        val clientHeaders = ClientRequestHeaders.read(exchange.request.headers)
        val description =
            RequestDescription(
                host = exchange.request.header("Host").orEmpty().substringBefore(':'),
                path = exchange.request.path,
                credential = clientHeaders.credential,
                tokens =
                    clientHeaders.promptTokens?.let { it + (clientHeaders.maxOutputTokens ?: 0) },
            )
        val remainingMillis = clientHeaders.remainingMillis ?: DEFAULT_REMAINING_MILLIS
        val decision = decide(description, arrivedMillis, remainingMillis)
        when (val result = decision.admission) {
            is Admission.Admitted -> {
                val route = AdmittedRoute(decision.version, description)
                forward(
                    ForwardedRequest(context, exchange, result, clientHeaders, arrivedMillis, route)
                )
            }
            is Admission.Rejected -> reject(exchange, clientHeaders, description, result)
            is Admission.Undecided -> reject(exchange, clientHeaders, description, result.rejected)
        }
    }

    // A request that is undecided after its part of the startup wait is rejected.
    private suspend fun decide(
        description: RequestDescription,
        arrivedMillis: Long,
        remainingMillis: Long,
    ): Decision {
        val endMillis = arrivedMillis + gate.waitMillis(remainingMillis)
        var isHeld = !gate.isOpen
        gate.await(remainingMillis)
        while (true) {
            val view = configuration.view()
            val nowMillis = context.loop.nowMillis()
            val result = admission.decide(view, description, nowMillis, isHeld)
            if (result !is Admission.Undecided || nowMillis >= endMillis) {
                return Decision(view.table?.config?.version ?: 0, result)
            }
            isHeld = true
            delay(DECISION_INTERVAL_MILLIS)
        }
    }

    private suspend fun forward(request: ForwardedRequest) {
        forwarded += request
        try {
            request.run()
        } finally {
            forwarded -= request
        }
    }

    private suspend fun reject(
        exchange: HttpExchange,
        clientHeaders: ClientRequestHeaders,
        description: RequestDescription,
        rejected: Admission.Rejected,
    ) {
        context.requestLog.rejected(clientHeaders, description.host, description.path, rejected)
        exchange.respond(rejectionResponse(rejected))
    }

    private class Decision(val version: Long, val admission: Admission)

    private companion object {
        const val DECISION_INTERVAL_MILLIS = 50L
        const val DEFAULT_REMAINING_MILLIS = 1_000L
    }
}
