package io.lavenderhinge.core.forwarding

import kotlin.math.ceil
import kotlin.random.Random

private const val CHANGE_MILLIS = 600L
private const val SLOW_FACTOR = 2.5
private const val SLOW_SHARE = 6
private const val SLOTS = 4
private const val TOKENS_PER_MILLI = 38.0
private const val STEP_MILLIS = 4.6
private const val EVENTS = 60
private const val DELIVERY_MILLIS = 2L
private const val SERVERS = 42

/** How a simulated server states the speed of its machine. */
internal enum class StatedFigure {
    NONE,
    TRUE,
    /** The figure never changes. */
    CONSTANT,
}

/**
 * Simulates servers of which a sixth takes 2.5 times its time, and which ones changes every 600 ms.
 * There is no network: [statedFigure] decides what each first event states.
 */
internal class StatedLoadSimulation(
    private val instanceCount: Int,
    private val statedFigure: StatedFigure,
    /** Times of the servers for the same work, in turn. */
    hardware: List<Double>,
    private val seed: Int,
) {
    private inner class Machine(val entry: ServerEntry, val hardware: Double) {
        val freeAtMillis = DoubleArray(SLOTS)
        val running: Int
            get() = freeAtMillis.count { it > nowMillis }

        fun factor(millis: Double): Double {
            val isSlow = Random(seed * 7_919 + (millis / CHANGE_MILLIS).toLong() * 104_729)
            val offset = isSlow.nextInt(SLOW_SHARE)
            return if ((number(entry) + offset) % SLOW_SHARE == 0) SLOW_FACTOR else 1.0
        }

        /** Returns the end of work that takes [workMillis] on the usual machine. */
        fun endOf(startMillis: Double, workMillis: Double): Double {
            var millis = startMillis
            var left = workMillis * hardware
            while (true) {
                val factor = factor(millis)
                val changeMillis = (millis.toLong() / CHANGE_MILLIS + 1) * CHANGE_MILLIS.toDouble()
                val doneUntilChange = (changeMillis - millis) / factor
                if (left <= doneUntilChange) return millis + left * factor
                left -= doneUntilChange
                millis = changeMillis
            }
        }
    }

    private val time = VirtualTime()
    private val random = Random(seed)
    private var nowMillis = 0L
    private val machines =
        List(SERVERS) { Machine(server("s$it", SLOTS), hardware[it / SLOW_SHARE % hardware.size]) }
    private val dispatchers =
        List(instanceCount) { number ->
            Dispatcher("d", random = Random(number)).apply {
                onServers(machines.map { it.entry }, 0)
            }
        }
    private val open = HashMap<Long, Pair<DispatchRequest, Int>>()
    private val firstEvents = mutableListOf<Double>()
    private var lastId = 0L

    private fun number(entry: ServerEntry) = entry.id.drop(1).toInt()

    /** Returns the times to the first event after the warm-up, at [load] of the capacity. */
    fun run(load: Double, untilMillis: Long = 20_000): List<Double> {
        val usualMillis = (2_500 / TOKENS_PER_MILLI + EVENTS * STEP_MILLIS) * 1.25
        val capacity = machines.sumOf { SLOTS * 1_000 / (usualMillis * it.hardware) }
        time.arrivals(load * capacity, 0..untilMillis, random) { at(it) { arrive() } }
        val pauseMillis = ReportPacing.pauseMillis(instanceCount - 1)
        dispatchers.indices.forEach { from ->
            val offsetMillis = random.nextLong(pauseMillis)
            time.every(pauseMillis, untilMillis) { millis ->
                time.at(millis + offsetMillis) { at(it) { report(from) } }
            }
        }
        time.every(10, untilMillis) { at(it) { dispatchers.forEach { d -> d.serve() } } }
        time.run()
        return firstEvents
    }

    private fun at(millis: Long, action: () -> Unit) {
        nowMillis = millis
        action()
    }

    private fun report(from: Int) =
        time.sendReport(dispatchers, from, DELIVERY_MILLIS, nowMillis) { effects, millis ->
            at(millis) { apply(effects) }
        }

    private fun Dispatcher.serve() = apply(serveQueues(nowMillis))

    private fun arrive() {
        val instance = random.nextInt(instanceCount)
        val request =
            request(
                ++lastId,
                arrivedMillis = nowMillis,
                promptTokens = listOf(3_720.0, 2_890.0, 1_110.0).random(random),
                expectedEvents = EVENTS.toDouble(),
            )
        open[request.id] = request to instance
        apply(dispatchers[instance].submit(request, nowMillis))
    }

    private fun apply(effects: List<DispatchEffect>) =
        effects.forEach { effect ->
            val (request, instance) = open.remove(effect.requestId) ?: return@forEach
            if (effect is DispatchEffect.Assign)
                start(request, instance, machines[number(effect.server)])
        }

    private fun start(request: DispatchRequest, instance: Int, machine: Machine) {
        val sentMillis = nowMillis
        val slot = machine.freeAtMillis.indices.minBy { machine.freeAtMillis[it] }
        val startMillis = maxOf(sentMillis.toDouble(), machine.freeAtMillis[slot])
        val firstMillis = machine.endOf(startMillis, request.promptTokens / TOKENS_PER_MILLI)
        val endMillis = machine.endOf(firstMillis, EVENTS * STEP_MILLIS)
        machine.freeAtMillis[slot] = endMillis
        if (sentMillis >= 5_000) firstEvents += firstMillis - request.arrivedMillis
        val dispatcher = dispatchers[instance]
        time.at(ceil(firstMillis).toLong()) {
            at(it) { onFirstEvent(dispatcher, request, machine) }
        }
        time.at(ceil(endMillis).toLong()) {
            val outcome =
                ServerOutcome.Answered(
                    firstMillis - sentMillis,
                    endMillis - sentMillis,
                    request.promptTokens,
                    EVENTS,
                )
            val attempt =
                finished(
                    machine.entry,
                    outcome,
                    request.promptTokens,
                    request = request,
                    sentMillis = sentMillis,
                )
            at(it) { apply(dispatcher.onFinished(attempt, nowMillis)) }
        }
    }

    private fun onFirstEvent(dispatcher: Dispatcher, request: DispatchRequest, machine: Machine) {
        dispatcher.onFirstEvent(machine.entry.id, "s", request.promptTokens)
        val factor =
            when (statedFigure) {
                StatedFigure.NONE -> null
                StatedFigure.TRUE -> machine.factor(nowMillis.toDouble())
                StatedFigure.CONSTANT -> 1.0
            }
        val load = StatedLoad(machine.running, 0, SLOTS, factor)
        dispatcher.onStatement(machine.entry, ServerStatement(load = load), nowMillis)
    }
}
