package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.ServerRun
import kotlin.random.Random

private const val PER_SECOND = 8.0
private const val ALLOWED = 17
private const val COLD_MILLIS = 8_000L
private const val REPORT_DELAY_MILLIS = 3L
/** Time until an answer of a server states that it is cold. */
private const val COLD_ANSWER_MILLIS = 90L
/** As in the exchange of load reports. */
private const val URGENT_DELAY_MILLIS = 2L

/** What fails in a [ColdFleet], if anything. */
private enum class ColdFault {
    NONE,
    /** Instances hear only those of their half. */
    PARTITION,
    /** No reports arrive. */
    NO_REPORTS,
    /** An instance stops and starts again while the servers are cold. */
    RESTART,
    /** Instances do not yet know a few that have just joined. */
    JOINED,
    /** Half of the instances learn of the cold servers only from reports. */
    LATE_NEWS,
    /** The servers' entries arrive up to 80 ms apart. */
    SKEW,
}

/** A fleet that wants to send much more to [coldCount] servers than they take while cold. */
private class ColdFleet(
    private val instances: Int,
    coldCount: Int,
    private val fault: ColdFault,
    seed: Int,
) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val ids = List(instances) { "i$it" }
    private val entries =
        List(coldCount) { server("s$it").copy(warmUpRemainingMillis = COLD_MILLIS) }
    private val fleet = Array(instances) { start(it, nowMillis = 0) }
    val sent = entries.associate { it.run to mutableListOf<Long>() }

    private fun start(instance: Int, nowMillis: Long): ColdServers {
        val members = FleetMembers()
        val joinedCount = if (fault == ColdFault.JOINED) maxOf(1, instances / 20) else 0
        // Those that joined last know all; the others have read an older list.
        val known = if (instance >= instances - joinedCount) ids else ids.dropLast(joinedCount)
        members.onListed(ids[instance], known.toSet() - ids[instance], nowMillis)
        return ColdServers(members, ColdTolerance(overageFactor = 1.5, slack = 5.0)).apply {
            ruleOf = { ColdRule(PER_SECOND, COLD_MILLIS) }
        }
    }

    fun run(): ColdFleet {
        fleet.forEachIndexed { instance, cold -> learn(instance, cold) }
        val pauseMillis = ReportPacing.pauseMillis(instances - 1)
        if (fault != ColdFault.NO_REPORTS) {
            ids.indices.forEach { from ->
                val offsetMillis = random.nextLong(pauseMillis)
                time.every(pauseMillis, COLD_MILLIS) { now ->
                    time.at(now + offsetMillis) { report(from, it) }
                }
            }
        }
        if (fault == ColdFault.RESTART) {
            time.at(3_000) { fleet[0] = start(0, it) }
            time.at(3_010) { fleet[0].onServers(entries, it) }
        }
        val perSecond = 40.0 * entries.size
        time.arrivals(perSecond, 0..COLD_MILLIS, random, ::arrive)
        time.run()
        return this
    }

    private fun learn(instance: Int, cold: ColdServers) {
        val skewMillis = if (fault == ColdFault.SKEW) random.nextLong(80) else 0
        time.at(skewMillis) { now ->
            val isLate = fault == ColdFault.LATE_NEWS && instance % 2 == 1
            val known = if (isLate) entries.map { it.copy(warmUpRemainingMillis = 0) } else entries
            cold.onServers(known, now)
        }
    }

    private fun report(from: Int, nowMillis: Long) {
        val reports = fleet[from].reports(nowMillis)
        time.at(nowMillis + REPORT_DELAY_MILLIS) { now ->
            ids.indices
                .filter { it != from }
                .filter { fault != ColdFault.PARTITION || it % 2 == from % 2 }
                .forEach { fleet[it].onPeerReport(ids[from], reports, now) }
        }
    }

    // An instance sends a request to any cold server that takes one.
    private fun arrive(nowMillis: Long) {
        val cold = fleet[random.nextInt(instances)]
        val run =
            entries
                .shuffled(random)
                .map { it.run }
                .firstOrNull { cold.isCold(it, nowMillis) && cold.waitMillis(it, nowMillis) <= 0 }
                ?: return
        cold.onSent(run, nowMillis)
        sent.getValue(run) += nowMillis + random.nextLong(REPORT_DELAY_MILLIS)
    }

    /** Returns the most requests that a server got in any second. */
    fun maxInSecond(): Int =
        sent.values.maxOf { times ->
            times.maxOfOrNull { from -> times.count { it >= from && it < from + 1_000 } } ?: 0
        }

    /** Returns the requests of a server per second, on average. */
    fun perSecond(): Double = sent.values.sumOf { it.size } * 1_000.0 / COLD_MILLIS / sent.size
}

/**
 * Returns how many requests a server in use gets in the second after it has turned cold, while
 * [instances] send it [warmPerSecond] requests until they hear of it by an answer or a report.
 */
private fun sentAfterTurningCold(instances: Int, warmPerSecond: Double, seed: Int): Int {
    val random = Random(seed)
    val time = VirtualTime()
    val entry = server("s0")
    val ids = List(instances) { "i$it" }
    val fleet =
        ids.map { id ->
            val members = FleetMembers().apply { onListed(id, ids.toSet() - id, nowMillis = 0) }
            ColdServers(members, ColdTolerance()).apply {
                ruleOf = { ColdRule(PER_SECOND, COLD_MILLIS) }
                onServers(listOf(entry), nowMillis = 0)
            }
        }
    var sentCount = 0
    fun answer(from: Int, nowMillis: Long) {
        val isNews = !fleet[from].isCold(entry.run, nowMillis)
        fleet[from].onStated(entry.run, COLD_MILLIS - nowMillis, nowMillis)
        if (!isNews) return
        time.at(nowMillis + URGENT_DELAY_MILLIS + REPORT_DELAY_MILLIS) { now ->
            val reports = fleet[from].reports(now)
            ids.indices.forEach { if (it != from) fleet[it].onPeerReport(ids[from], reports, now) }
        }
    }
    time.arrivals(warmPerSecond, 0L..1_000L, random) { now ->
        val instance = random.nextInt(instances)
        if (fleet[instance].waitMillis(entry.run, now) > 0) return@arrivals
        fleet[instance].onSent(entry.run, now)
        sentCount++
        time.at(now + COLD_ANSWER_MILLIS) { answer(instance, it) }
    }
    time.run()
    return sentCount
}

class ColdServersTest :
    FunSpec({
        val run = ServerRun("s0", startedMillis = 0)
        val entry = server("s0").copy(warmUpRemainingMillis = 1_000)

        fun coldServers(others: Set<String> = emptySet(), isListed: Boolean = true): ColdServers {
            val members = FleetMembers()
            if (isListed) members.onListed("self", others, nowMillis = 0)
            return ColdServers(members, ColdTolerance(overageFactor = 1.5, slack = 5.0)).apply {
                ruleOf = { ColdRule(PER_SECOND, COLD_MILLIS) }
            }
        }

        listOf(7, 61, 325).forEach { instances ->
            ColdFault.entries.forEach { fault ->
                // Guards against a server that crashes because it gets more than it takes while
                // cold, with 30 of 98 servers cold at once.
                test("given $instances instances and $fault, then cold servers keep their limit") {
                    val fleet = ColdFleet(instances, coldCount = 30, fault, seed = 1).run()

                    println(
                        "$instances instances, $fault: " +
                            "at most ${fleet.maxInSecond()} in a second, " +
                            "${"%.1f".format(fleet.perSecond())} per second on average"
                    )
                    fleet.maxInSecond() shouldBeLessThanOrEqual ALLOWED
                    fleet.perSecond() shouldBeGreaterThan 3.0
                }
            }

            // Guards against instances that learn too late of a server that turns cold in use. Six
            // slots of 85.7 ms take 70 requests per second.
            test("given $instances instances and a server that turns cold, then they stop soon") {
                val counts = (1..5).map { sentAfterTurningCold(instances, 70.0, seed = it) }

                println("$instances instances: $counts requests in the second after turning cold")
                counts.max() shouldBeLessThanOrEqual ALLOWED
            }
        }

        // Guards against a cut-off domain that uses the share of instances it does not hear.
        test("given members that are silent, then their shares stay theirs") {
            val cold = coldServers(others = List(15) { "i$it" }.toSet())
            cold.onServers(List(64) { server("s$it").copy(warmUpRemainingMillis = 9_000) }, 0)

            val usable =
                (0 until 64).count { cold.waitMillis(ServerRun("s$it", 0), nowMillis = 2_000) <= 0 }

            usable shouldBeLessThanOrEqual 44
        }

        test("given an instance that the store has not listed, then it sends nothing") {
            val cold = coldServers(isListed = false)
            cold.onServers(listOf(entry), nowMillis = 0)

            cold.waitMillis(run, nowMillis = 900) shouldBeGreaterThan 0.0
        }

        test("given the end of the cold time, then slots return gradually") {
            val cold = coldServers()
            cold.onServers(listOf(entry), nowMillis = 0)

            cold.waitMillis(run, nowMillis = 1_200) shouldBe 0.0
            cold.usableSlots(run, slots = 6, nowMillis = 1_200) shouldBe 1
            cold.usableSlots(run, slots = 6, nowMillis = 2_200) shouldBe 3
            cold.usableSlots(run, slots = 6, nowMillis = 3_200) shouldBe 6
        }

        // Guards against a server that turns cold while it runs.
        test("given a warm server that states a cold time, then it is limited again") {
            val cold = coldServers()
            cold.onServers(listOf(server("s0")), nowMillis = 0)

            cold.onStated(run, remainingMillis = 500, nowMillis = 10_000)

            cold.perSecond(run, nowMillis = 10_100) shouldBe PER_SECOND
        }

        // Guards against an entry that is read again and prolongs the cold time.
        test("given the same entry again, then the cold time ends as stated before") {
            val cold = coldServers()
            cold.onServers(listOf(entry), nowMillis = 0)

            cold.onServers(listOf(entry), nowMillis = 800)

            cold.isCold(run, nowMillis = 1_200) shouldBe false
        }

        // Guards against ejections and learned slowness of servers that are cold.
        test("given slow answers and silence of a cold server, then nothing is learned of it") {
            val record = ServerRecord(server("s0"))
            val model = FirstEventModel()
            repeat(5) {
                record.observeCold(ServerOutcome.Answered(900.0, 2_000.0, 10.0, 0), model, 0)
                record.observeCold(ServerOutcome.Unresponsive, model, 0)
            }

            record.latencyFactor shouldBe 1.0
            record.holdMillis shouldBe 0.0
            record.isHalfOpen shouldBe false
        }

        test("given an entry with a longer remaining time than before, then it is cold again") {
            val progress = WarmUpProgress()
            fun isColdAgain(remainingMillis: Long) =
                progress.isColdAgain(listOf(entry.copy(warmUpRemainingMillis = remainingMillis)))

            listOf(1_000L, 500L, 0L, 1_000L).map(::isColdAgain) shouldBe
                listOf(true, false, false, true)
        }
    })
