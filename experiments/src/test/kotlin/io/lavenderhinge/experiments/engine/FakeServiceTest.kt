package io.lavenderhinge.experiments.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards the concurrency limit, without which a plain service could not be overloaded. */
class FakeServiceTest :
    FunSpec({
        test("given more calls than its concurrency, when served, then the others wait") {
            val fixture = EngineFixture()
            val service = FakeService("service-0", maxConcurrency = 2, fixture.loop, fixture)
            repeat(4) { service.submit(job("r$it", serviceMicros = 1_000_000)) }

            service.load().running shouldBe 2
            fixture.run()
            fixture.events("completed").map { it.atMicros / 1_000_000 } shouldBe listOf(1, 1, 2, 2)
        }

        test(
            "given a crash, when restarted, then each call has failed once and new ones complete"
        ) {
            val fixture = EngineFixture()
            val service = FakeService("service-0", maxConcurrency = 2, fixture.loop, fixture)
            repeat(3) { service.submit(job("r$it", serviceMicros = 1_000_000)) }
            service.crash()
            service.restart()
            service.submit(job("later", serviceMicros = 1_000_000))
            fixture.run()

            fixture.events("failed").size shouldBe 3
            fixture.events("completed").map { it.requestId } shouldBe listOf("later")
        }
    })
