package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Guards against requests that leave their regions. Domain `near` is that of the dispatcher and is
 * in `west`, `far` is in `east`, and `unlisted` is in no region.
 */
class DispatcherRegionsTest :
    FunSpec({
        fun dispatcher(vararg domains: String, slots: Int = 1) =
            Dispatcher("near", random = Random(1)).apply {
                regions = RegionTable(persistentMapOf("near" to "west", "far" to "east"))
                val servers = domains.map { server("$it-0", slots).copy(failureDomain = it) }
                onServers(servers, nowMillis = 0)
            }

        fun restricted(id: Long, vararg regions: String) =
            request(id).copy(allowedRegions = persistentSetOf(*regions))

        test("given a free server nearby, then a request for another region goes there") {
            val effect = dispatcher("near", "far").submit(restricted(1, "east"), 0).single()

            effect.shouldBeInstanceOf<DispatchEffect.Assign>().server.id shouldBe "far-0"
        }

        // Guards against an incomplete table that lets requests go anywhere.
        test("given a domain that is missing in the table, then it gets no restricted request") {
            val refusal = dispatcher("unlisted").submit(restricted(1, "west"), 0).single()

            refusal.shouldBeInstanceOf<DispatchEffect.Refuse>()
            refusal.reason shouldBe DispatchRefusal.NO_ALLOWED_REGION
            refusal.inputs shouldContain "west"
        }

        test("given a full region, then its requests wait while others are sent elsewhere") {
            val dispatcher = dispatcher("near", "far")
            dispatcher.submit(restricted(1, "east"), 0) shouldHaveSize 1

            dispatcher.submit(restricted(2, "east"), 0).shouldBeEmpty()
            val other = dispatcher.submit(request(3), 0).single()

            other.shouldBeInstanceOf<DispatchEffect.Assign>().server.id shouldBe "near-0"
        }

        // Guards against a retry or a replacement that leaves the region when its servers are
        // exhausted.
        test("given the servers of the region were tried, then the request is refused") {
            val retry = restricted(1, "east").copy(excludedServers = persistentSetOf("far-0"))

            val refusal = dispatcher("near", "far").submit(retry, 0).single()

            refusal.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.NO_ALLOWED_REGION
        }

        test("given the region's only domain is evacuated, then the refusal says so") {
            val dispatcher = dispatcher("near", "far")
            val evacuated = EvacuationState().after(EvacuationRead(setOf("far"), 1, 1), 0)
            dispatcher.evacuations = { evacuated }

            val refusal = dispatcher.submit(restricted(1, "east"), 0).single()

            refusal.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.EVACUATED
        }

        // Guards against a request that waits for a pause of a server that it may not use.
        test("given a pausing server outside the region, then the request is refused at once") {
            val dispatcher = dispatcher("near")
            val entry = server("near-0").copy(failureDomain = "near")
            dispatcher.onStatement(entry, ServerStatement(pauseMillis = 100), nowMillis = 0)

            val refusal = dispatcher.submit(restricted(1, "east"), 0).single()

            refusal.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.NO_ALLOWED_REGION
        }

        fun regions(names: Set<String>?) = names?.let { persistentSetOf(*it.toTypedArray()) }

        fun allowed(ofRoute: Set<String>?, ofWorkspace: Set<String>?) =
            RegionTable.allowedRegions(
                route().copy(allowedRegions = regions(ofRoute)),
                workspace("w").copy(allowedRegions = regions(ofWorkspace)),
            )

        test("given lists of the route and the workspace, then both bind") {
            allowed(setOf("a", "b"), setOf("b", "c")) shouldBe setOf("b")
            allowed(setOf("a"), setOf("c")) shouldBe emptySet()
            allowed(setOf("a"), null) shouldBe setOf("a")
            allowed(null, setOf("c")) shouldBe setOf("c")
            allowed(null, null) shouldBe null
        }

        // Guards against two disjoint lists being taken for no restriction.
        test("given no region that both allow, then the request is sent nowhere") {
            val effect = dispatcher("near", "far").submit(restricted(1), 0).single()

            effect.shouldBeInstanceOf<DispatchEffect.Refuse>().reason shouldBe
                DispatchRefusal.NO_ALLOWED_REGION
        }
    })
