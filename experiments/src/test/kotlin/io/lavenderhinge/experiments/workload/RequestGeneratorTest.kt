package io.lavenderhinge.experiments.workload

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.experiments.scheduler.PREFIX_BLOCK_TOKENS

class RequestGeneratorTest :
    FunSpec({
        // Guards against uniform request lengths, which hide differences between schedulers.
        test("given a deployment, when requests are generated, then lengths span a factor of 100") {
            val generator = RequestGenerator(Deployments.pelnu, seed = 1)
            val prompts = List(5_000) { generator.next(0).request.promptTokens }.filter { it > 0 }

            prompts.max() / prompts.min() shouldBeGreaterThan 99
        }

        // Guards against prompts without shared prefixes, with which prefix caches have no effect.
        test(
            "given one workspace and route, when requests are generated, then templates are shared"
        ) {
            val generator = RequestGenerator(Deployments.caprock, seed = 1)
            val requests = List(500) { generator.next(Deployments.caprock.routes[0], 0).request }
            val prefixes = requests.groupBy { it.workspace to it.prefixHashes.first() }

            prefixes.keys.groupBy { it.first }.values.maxOf { it.size } shouldBe 8
            requests.forEach { it.prefixHashes.size shouldBe it.promptTokens / PREFIX_BLOCK_TOKENS }
        }

        // Guards against bursts that change the mean rate and thereby the meaning of a load factor.
        test("given a mean rate, when many arrivals are generated, then the mean rate is met") {
            val process = ArrivalProcess(requestsPerSecond = 50.0, seed = 1)
            var seconds = 0.0
            repeat(200_000) { seconds = process.next(seconds, maxRateFactor = 1.0) { 1.0 } }

            200_000 / seconds shouldBe (50.0 plusOrMinus 1.5)
        }
    })
