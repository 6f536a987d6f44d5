package io.lavenderhinge.experiments.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/** Guards against a version fault that ignores its start time, batch size or route. */
class VersionFaultTest :
    FunSpec({
        data class Case(val fault: VersionFault, val requests: List<BackendJob>, val bad: Int)

        val few = { listOf(job("a"), job("b", route = "flag")) }
        val many = { List(30) { job("r$it") } }
        val kind = VersionFaultKind.FAIL
        listOf(
                "at once" to Case(VersionFault(kind), few(), bad = 2),
                "later, before its time" to Case(VersionFault(kind, 60_000), few(), bad = 0),
                "under load, without load" to
                    Case(VersionFault(kind, minSequences = 20), few(), bad = 0),
                "on one route" to Case(VersionFault(kind, route = "flag"), few(), bad = 1),
            )
            .forEach { (name, case) ->
                test("given a version that fails $name, when served, then ${case.bad} fail") {
                    val fixture = EngineFixture(case.fault)
                    case.requests.forEach(fixture.engine::submit)
                    fixture.run()

                    fixture.events("failed").size shouldBe case.bad
                    fixture.events("completed").size shouldBe case.requests.size - case.bad
                }
            }

        test("given a version that fails under load, when loaded, then some requests fail") {
            val fixture = EngineFixture(VersionFault(kind, minSequences = 20))
            many().forEach(fixture.engine::submit)
            fixture.run()

            fixture.events("failed").size shouldBeGreaterThan 0
        }

        test("given a version slow on one route, when served, then only that route is slow") {
            val fixture = EngineFixture(VersionFault(VersionFaultKind.SLOW, route = "flag"))
            few().forEach(fixture.engine::submit)
            fixture.run()

            val (draft, flag) = fixture.events("completed")
            flag.betweenTokensMillis shouldBeGreaterThan draft.betweenTokensMillis * 2.5
        }
    })
