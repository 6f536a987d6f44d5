package io.lavenderhinge.core.health

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

private class Pool(size: Int) {
    val table = HealthTable()
    val ids = (1..size).map { "s$it" }
    var nowMillis = 100_000L

    init {
        ids.forEach { on(HealthEvent.Listed(it, "drafting", leaving = false)) }
    }

    fun on(event: HealthEvent) = table.handle(event, nowMillis)

    fun state(id: String) = table.state(id)

    /** Ticks every 250 ms. Probes to servers in [down] are refused, all others are answered. */
    fun run(millis: Long, down: Set<String> = emptySet()) {
        repeat((millis / 250).toInt()) {
            nowMillis += 250
            on(HealthEvent.Tick).filterIsInstance<HealthEffect.Probe>().forEach {
                on(
                    if (it.serverId in down) refused(it.serverId)
                    else HealthEvent.LoadReported(it.serverId)
                )
            }
        }
    }
}

private fun refused(id: String) = HealthEvent.Failed(id, FailureKind.CONNECTION_REFUSED)

private fun failed(id: String) = HealthEvent.Failed(id, FailureKind.SERVER_ERROR)

class HealthTableTest :
    FunSpec({
        test("given a server that refuses connections, when 2 s have passed, then it is dead") {
            val pool = Pool(4)

            pool.on(refused("s1"))
            pool.run(2_000, down = setOf("s1"))

            pool.state("s1") shouldBe ServerState.DEAD
            pool.table.weightFraction("s1", pool.nowMillis) shouldBe 0.0
        }

        test("given a single failure, when the probe is answered, then the server is live") {
            for (kind in FailureKind.entries - FailureKind.DRAINING) {
                val pool = Pool(4)

                pool.on(HealthEvent.Failed("s1", kind))
                pool.run(3_000)

                pool.state("s1") shouldBe ServerState.LIVE
            }
        }

        test(
            "given a draining server, when the lagging list has it as live, then it gets no traffic"
        ) {
            val pool = Pool(4)

            pool.on(HealthEvent.Failed("s1", FailureKind.DRAINING))
            pool.run(1_000)
            pool.on(HealthEvent.Listed("s1", "drafting", leaving = false))

            pool.table.weightFraction("s1", pool.nowMillis) shouldBe 0.0
        }

        test("given successful probes, when five requests in a row fail, then the server is dead") {
            val pool = Pool(4)

            repeat(5) {
                pool.on(failed("s1"))
                pool.on(HealthEvent.LoadReported("s1"))
            }

            pool.state("s1") shouldBe ServerState.DEAD
        }

        // Guards against emptying the pool because of a network fault at one instance or a request
        // that fails on every server.
        test(
            "given failures of all servers, when seen by one instance, then half stay in the pool"
        ) {
            for (event in listOf(::refused, ::failed)) {
                val pool = Pool(4)

                repeat(6) { pool.ids.forEach { id -> pool.on(event(id)) } }
                pool.run(5_000, down = pool.ids.toSet())

                pool.ids.count { pool.table.weightFraction(it, pool.nowMillis) > 0 } shouldBe 2
            }
        }

        test("given an empty list, when every server is unlisted, then one stays in the pool") {
            val pool = Pool(3)

            pool.ids.forEach { pool.on(HealthEvent.Unlisted(it)) }

            pool.ids.count { pool.table.weightFraction(it, pool.nowMillis) > 0 } shouldBe 1
        }

        test("given slow first tokens, when compared with the pool, then traffic is reduced") {
            val pool = Pool(4)

            repeat(20) {
                pool.ids.forEach { id ->
                    pool.on(HealthEvent.Answered(id, if (id == "s1") 2_000 else 200))
                }
            }

            pool.state("s1") shouldBe ServerState.SLOW
            pool.table.weightFraction("s1", pool.nowMillis) shouldBeLessThan 0.2
            pool.table.weightFraction("s1", pool.nowMillis) shouldBeGreaterThan 0.0
        }

        test("given a dead server, when probes succeed again, then its traffic rises slowly") {
            val pool = Pool(4)
            pool.on(refused("s1"))
            pool.run(2_000, down = setOf("s1"))

            pool.run(6_000)
            pool.state("s1") shouldBe ServerState.RECOVERING
            pool.table.weightFraction("s1", pool.nowMillis) shouldBeLessThan 0.3
            pool.run(30_000)

            pool.table.weightFraction("s1", pool.nowMillis) shouldBe 1.0
        }

        test("given a recovering server, when it fails again, then it is dead again") {
            val pool = Pool(4)
            pool.on(refused("s1"))
            pool.run(2_000, down = setOf("s1"))
            pool.run(6_000)

            repeat(5) { pool.on(failed("s1")) }

            pool.state("s1") shouldBe ServerState.DEAD
        }
    })
