package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan

private const val SECONDS = 20

/**
 * Simulates a pool of language models at twice its capacity: long drafts come first, short
 * questions second, and brief checks, which need a tenth of the time of a question, last.
 */
class DispatcherOverloadTest :
    FunSpec({
        fun pool() =
            List(6) { SimulatedServer("fast-$it", slots = 11, slowness = 1.0) } +
                List(2) { SimulatedServer("slow-$it", slots = 11, slowness = 1.6) }

        val draft = SimulatedWork(2_000.0, 250.0, 1_000, patienceMillis = 4_000, 15_000)
        val question = SimulatedWork(1_500.0, 80.0, 500, patienceMillis = 4_000, 12_000)
        val check = SimulatedWork(200.0, 100.0, 500, patienceMillis = 3_000, 3_000)

        fun traffic(instances: Int): List<SimulatedTraffic> {
            fun steady(priority: Int, perSecond: Double, work: SimulatedWork) =
                List(instances) {
                    SimulatedTraffic(it, priority, perSecond / instances, 0, SECONDS * 1_000L, work)
                }
            return steady(0, 20.0, draft) + steady(1, 70.0, question) + steady(2, 36.0, check)
        }

        fun run(instances: Int): List<SimulatedResult> =
            LoadSimulation(instances, pool())
                .run(traffic(instances), untilMillis = 60_000, seed = 1)

        fun List<SimulatedResult>.onTimeFraction(targetMillis: Long): Double =
            count { it.firstEventMillis != null && it.firstEventMillis <= targetMillis }
                .toDouble() / size

        listOf(4, 9, 20).forEach { instances ->
            val results by lazy { run(instances) }

            // Guards against drafts that wait for less urgent requests.
            test("given twice the capacity, then drafts are on time, $instances instances") {
                val drafts = results.filter { it.priority == 0 }

                drafts.onTimeFraction(draft.targetMillis) shouldBeGreaterThan 0.85
            }

            // Guards against a least urgent kind of request that is never served, although it
            // needs little of the capacity.
            test("given twice the capacity, then checks are not starved, $instances instances") {
                val checks = results.filter { it.priority == 2 }

                checks.onTimeFraction(check.targetMillis) shouldBeGreaterThan 0.2
            }

            // Guards against slots spent on requests that are late already. After the drafts, a
            // third of the questions fits into the pool; two thirds of these are expected.
            test("given twice the capacity, then questions use the rest, $instances instances") {
                val questions = results.filter { it.priority == 1 }

                questions.onTimeFraction(question.targetMillis) shouldBeGreaterThan 0.22
            }

            // Guards against requests that are held until their client gives up and are then
            // rejected: the client could have tried again meanwhile.
            test("given twice the capacity, then rejections come early, $instances instances") {
                val rejected = results.filter { it.firstEventMillis == null }

                rejected.map { it.queuedMillis }.average() shouldBeLessThan 750.0
                rejected.maxOf { it.queuedMillis }.toDouble() shouldBeLessThan 3_000.0
            }
        }
    })
