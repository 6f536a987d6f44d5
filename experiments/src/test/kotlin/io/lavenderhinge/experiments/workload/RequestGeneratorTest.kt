package io.lavenderhinge.experiments.workload

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.experiments.scheduler.PREFIX_BLOCK_TOKENS

class RequestGeneratorTest :
    FunSpec({
        // Guards the spread of lengths, on which the results of load balancing depend.
        test("given a deployment, when requests are drawn, then lengths spread a hundredfold") {
            val generator = RequestGenerator(Deployments.pelnu, seed = 1)
            val prompts = List(5_000) { generator.next(0).request.promptTokens }.filter { it > 0 }

            prompts.max() / prompts.min() shouldBeGreaterThan 99
        }

        // Guards prefix affinity: without shared heads no cache could help.
        test("given one workspace and route, when drawn often, then templates are shared") {
            val generator = RequestGenerator(Deployments.caprock, seed = 1)
            val requests = List(500) { generator.next(Deployments.caprock.routes[0], 0).request }
            val heads = requests.groupBy { it.workspace to it.prefixHashes.first() }

            heads.keys.groupBy { it.first }.values.maxOf { it.size } shouldBe 8
            requests.forEach { it.prefixHashes.size shouldBe it.promptTokens / PREFIX_BLOCK_TOKENS }
        }

        // Guards the meaning of a load factor: bursts must not change the mean rate.
        test("given a mean rate, when arrivals are drawn for long, then the mean rate is met") {
            val process = ArrivalProcess(requestsPerSecond = 50.0, seed = 1)
            var seconds = 0.0
            repeat(200_000) { seconds = process.next(seconds, maxFactor = 1.0) { 1.0 } }

            200_000 / seconds shouldBe (50.0 plusOrMinus 1.5)
        }
    })
