package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random
import kotlinx.collections.immutable.persistentSetOf

/** Guards against requests to servers of a domain that the operator evacuates. */
class DispatcherEvacuationTest :
    FunSpec({
        test("given a free server in an evacuated domain, then the other domain's is used") {
            val fixture = EvacuationFixture("near", "far")
            fixture.evacuate("near")

            val effects = (1L..4).flatMap { fixture.submit(request(it)) }

            effects.forAll {
                it.shouldBeInstanceOf<DispatchEffect.Assign>().server.id shouldBe "far-0"
            }
        }

        test("given a queued request, when its domain is evacuated, then no slot there is used") {
            val fixture = EvacuationFixture("near", slots = 1)
            val busy = fixture.submit(request(1)).single() as DispatchEffect.Assign
            fixture.submit(request(2)).shouldBeEmpty()

            fixture.evacuate("near")

            val refusal = fixture.dispatcher.serveQueues(nowMillis = 10).single()
            refusal.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.EVACUATED
            fixture.finish(busy).shouldBeEmpty()
        }

        test("given a retry, when the servers left are evacuated, then it is refused as such") {
            val fixture = EvacuationFixture("near", "far")
            fixture.evacuate("near")
            val retry = request(1).copy(excludedServers = persistentSetOf("far-0"))

            val refusal = fixture.submit(retry).single()

            refusal.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.EVACUATED
        }

        test("given the servers left are full, then a request waits for them") {
            val fixture = EvacuationFixture("near", "far", slots = 1)
            fixture.evacuate("near")
            fixture.submit(request(1))

            fixture.submit(request(2)).shouldBeEmpty()
            fixture.dispatcher.serveQueues(nowMillis = 590).shouldBeEmpty()
        }

        test("given two evacuated domains, then the third gets the requests") {
            val fixture = EvacuationFixture("near", "far", "third")
            fixture.evacuate("near", "far")

            val effect = fixture.submit(request(1)).single()

            effect.shouldBeInstanceOf<DispatchEffect.Assign>().server.id shouldBe "third-0"
        }

        test("given a domain without servers, then nothing changes") {
            val fixture = EvacuationFixture("near")
            fixture.evacuate("unknown")

            fixture.submit(request(1)).single().shouldBeInstanceOf<DispatchEffect.Assign>()
        }

        // Guards against a service without any server while its only domain returns.
        test("given the only domain of a service returns, then it gets requests at once") {
            val fixture = EvacuationFixture("near")
            fixture.evacuate("near")
            fixture.evacuate()

            fixture.submit(request(1)).single().shouldBeInstanceOf<DispatchEffect.Assign>()
        }

        // Guards against all slots of a returning domain being filled in the same moment.
        test("given a domain returns, then its slots open one after another over the ramp") {
            val servers = List(50) { ServerRecord(server("i-$it", slots = 4)) }
            val state = evacuations(0, "d").after(EvacuationRead(emptySet(), 2, 2), nowMillis = 0)
            val evacuations = DomainEvacuations(Random(1)) { state }

            fun openServers(nowMillis: Long) = evacuations.reachable(servers, nowMillis)
            fun openSlots(nowMillis: Long) =
                openServers(nowMillis).sumOf { evacuations.usableSlots(it, 4, nowMillis) }

            openServers(nowMillis = 500).size shouldBe openSlots(nowMillis = 500)
            (openSlots(nowMillis = 500) in 10..30) shouldBe true
            (openSlots(nowMillis = 2_500) in 90..110) shouldBe true
            openServers(nowMillis = 5_000) shouldHaveSize 50
            openSlots(nowMillis = 5_000) shouldBe 200
        }
    })

private fun evacuations(nowMillis: Long, vararg domains: String) =
    EvacuationState().after(EvacuationRead(domains.toSet(), 1, 1), nowMillis)

/** A dispatcher in domain `near` with one server in each of [domains]. */
private class EvacuationFixture(vararg domains: String, slots: Int = 4) {
    private var state = EvacuationState()
    private var revision = 0L
    val dispatcher = Dispatcher("near", random = Random(1))

    init {
        dispatcher.evacuations = { state }
        dispatcher.onServers(
            domains.map { server("$it-0", slots).copy(failureDomain = it) },
            nowMillis = 0,
        )
    }

    fun evacuate(vararg domains: String) {
        revision++
        state = state.after(EvacuationRead(domains.toSet(), revision, revision), nowMillis = 0)
    }

    fun submit(request: DispatchRequest) = dispatcher.submit(request, nowMillis = 0)

    fun finish(assigned: DispatchEffect.Assign) =
        dispatcher.onFinished(finished(assigned.server, ServerOutcome.Inconclusive), nowMillis = 20)
}
