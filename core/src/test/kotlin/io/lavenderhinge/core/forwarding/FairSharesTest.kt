package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import kotlin.math.pow

private const val WORKSPACES = 16
private const val SKEW = 1.2
private const val SERVERS = 42
private const val SLOTS = 4
private const val HOLD_MILLIS = 600.0
private const val CAPACITY_PER_SECOND = SERVERS * SLOTS * 1_000 / HOLD_MILLIS
/** Usual load of all workspaces together, as a fraction of the capacity. */
private const val USUAL_LOAD = 0.8
private const val FLOOD_FACTOR = 7
private const val FLOOD_FROM_MILLIS = 2_000L
private const val FLOOD_UNTIL_MILLIS = 6_000L
private const val END_MILLIS = 6_000L

/** Simulates a workspace that sends seven times its usual load to a pool of model servers. */
class FairSharesTest :
    FunSpec({
        val work = SimulatedWork(HOLD_MILLIS, 200.0, targetMillis = 1_000, patienceMillis = 5_000)

        // The first workspace is the largest one, the third one floods.
        val weights = List(WORKSPACES) { (it + 1).toDouble().pow(-SKEW) }
        val flooding = 0

        fun perSecond(workspace: Int) =
            USUAL_LOAD * CAPACITY_PER_SECOND * weights[workspace] / weights.sum()

        fun traffic(instances: Int): List<SimulatedTraffic> =
            List(instances) { instance ->
                    List(WORKSPACES) {
                        val rate = perSecond(it) / instances
                        SimulatedTraffic(instance, 0, rate, 0, END_MILLIS, work, "w$it")
                    } +
                        SimulatedTraffic(
                            instance,
                            0,
                            perSecond(flooding) * (FLOOD_FACTOR - 1) / instances,
                            FLOOD_FROM_MILLIS,
                            FLOOD_UNTIL_MILLIS,
                            work,
                            "w$flooding",
                        )
                }
                .flatten()

        fun run(
            instances: Int,
            mode: FeatureMode,
            isDelivered: (Int, Int, Long) -> Boolean = { _, _, _ -> true },
            prepare: (LoadSimulation) -> Unit = {},
        ): List<SimulatedResult> {
            val servers = List(SERVERS) { SimulatedServer("s-$it", SLOTS, slowness = 1.0) }
            val reports =
                SimulatedReports.OnChange(
                    pauseMillis = ReportPacing.pauseMillis(instances - 1),
                    delayMillis = 3,
                )
            val features = SchedulingFeatures(fairShares = mode)
            return LoadSimulation(instances, servers, reports, features, isDelivered = isDelivered)
                .also(prepare)
                .run(traffic(instances), END_MILLIS + 3_000, seed = 1)
                .filter { it.arrivedMillis in FLOOD_FROM_MILLIS + 500..FLOOD_UNTIL_MILLIS }
        }

        fun isOnTime(result: SimulatedResult) =
            result.firstEventMillis != null && result.firstEventMillis <= work.targetMillis

        /** The fraction of what each workspace asks for, up to its share, that was served. */
        fun List<SimulatedResult>.satisfaction(): List<Double> {
            val seconds = (FLOOD_UNTIL_MILLIS - FLOOD_FROM_MILLIS - 500) / 1_000.0
            val byWorkspace = groupBy { it.workspace }
            val demands = List(WORKSPACES) { byWorkspace["w$it"].orEmpty().size.toDouble() }
            val level = ShareLevel.of(CAPACITY_PER_SECOND * seconds, demands).levelMillis
            return List(WORKSPACES) { number ->
                val served = byWorkspace["w$number"].orEmpty().count { it.firstEventMillis != null }
                served / minOf(demands[number], level)
            }
        }

        fun jainsIndex(values: List<Double>): Double =
            values.sum().pow(2) / (values.size * values.sumOf { it * it })

        fun List<SimulatedResult>.slotSeconds() = sumOf { it.slotMillis } / 1_000.0

        fun List<SimulatedResult>.onTime() = count(::isOnTime).toDouble() / size

        fun ordinary(results: List<SimulatedResult>) =
            results.satisfaction().filterIndexed { number, _ -> number != flooding }

        // An ordinary workspace gets nearly what it would get alone with its share.
        fun shouldBeFair(results: List<SimulatedResult>) =
            ordinary(results).min() shouldBeGreaterThan 0.9

        // Parts of a fleet that do not hear each other refuse more, as each counts half the use.
        // The smallest workspaces send about ten requests, so one refusal makes a tenth.
        fun shouldNotStarve(results: List<SimulatedResult>) {
            println("least served: ${"%.2f".format(ordinary(results).min())}")
            ordinary(results).min() shouldBeGreaterThan 0.5
            ordinary(results).average() shouldBeGreaterThan 0.85
        }

        fun describe(results: List<SimulatedResult>): String {
            val index = "%.3f".format(jainsIndex(results.satisfaction()))
            val onTime = "%.3f".format(results.onTime())
            return "Jain's index $index, ${results.slotSeconds().toInt()} s of slot time, " +
                "$onTime on time"
        }

        listOf(7, 61).forEach { instances ->
            // Guards against a workspace that takes the slots and the queue of all others, and
            // against shares for which slots are kept free.
            test("given a workspace at seven times its load, $instances instances") {
                val without = run(instances, FeatureMode.OFF)
                val with = run(instances, FeatureMode.ON)
                println("$instances instances, without shares: ${describe(without)}")
                println("$instances instances, with shares: ${describe(with)}")

                shouldBeFair(with)
                jainsIndex(with.satisfaction()) shouldBeGreaterThan 0.98
                with.slotSeconds() shouldBeGreaterThan 0.98 * without.slotSeconds()
            }
        }

        // Guards against a total that starts at zero again and counts as negative or twice.
        test("given an instance that restarts, then no workspace is starved") {
            val results = run(7, FeatureMode.ON) { it.restartAt(3_500, instance = 1) }

            shouldNotStarve(results)
        }

        // Guards against charges that are missing for good after a lost report.
        test("given an instance whose reports are lost, then no workspace is starved") {
            val results = run(7, FeatureMode.ON, { from, _, _ -> from != 1 })

            shouldNotStarve(results)
        }

        // Guards against charges of the time of a partition that count at once after it.
        test("given a partition for two seconds, then no workspace is starved") {
            val results =
                run(
                    7,
                    FeatureMode.ON,
                    { from, to, nowMillis -> nowMillis !in 2_500..4_500 || (from < 3) == (to < 3) },
                )

            shouldNotStarve(results)
        }
    })
