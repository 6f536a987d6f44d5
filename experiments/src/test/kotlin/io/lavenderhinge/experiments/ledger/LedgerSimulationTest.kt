package io.lavenderhinge.experiments.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class LedgerSimulationTest :
    FunSpec({
        // Guards against a second execution, a false not-run and a wrong stored answer under
        // overlapping faults. 6 and 271 are seeds that once failed.
        for (seed in listOf(1L, 2L, 3L, 4L, 6L, 271L)) {
            test("given faults with seed $seed, when run for 90 s, then nothing is violated") {
                val settings = LedgerRunSettings.randomised(seed, durationMillis = 90_000)
                LedgerSimulation(settings).run().violations.shouldBeEmpty()
            }
        }

        test("given the same seed, when run twice, then the figures are the same") {
            val settings = LedgerRunSettings.randomised(5, durationMillis = 20_000)
            val first = LedgerSimulation(settings).run()
            val second = LedgerSimulation(settings).run()
            first.latencyMicros shouldBe second.latencyMicros
        }
    })
