package io.lavenderhinge.ctl

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.nio.file.Path

private const val SOUND =
    """{"version":7,"services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["secret"],
"rate_per_s":5,"burst":5}],"routes":[{"name":"look","host":"h","prefix":"/look/","kind":"idempotent",
"service":"s","attempts":2,"timeout_ms":2000,"target_latency_ms":150}]}"""

private fun fileOf(text: String): Path = settingsDirectoryOf("op.json" to text).resolve("op.json")

private fun check(text: String, options: String = "") =
    FakeEnvironment().run("check $options DIR".replace("  ", " "), fileOf(text))

class CheckCommandTest :
    FunSpec({
        test("given a sound configuration, when checked, then there are no findings") {
            val result = check(SOUND)

            result.stdout shouldBe "0 findings\n"
            result.statusCode shouldBe 0
        }

        data class Case(val from: String, val to: String, val finding: String)

        // Guards against a fault that the operator learns of only once it is in force.
        context("given a fault, when checked, then it is named with its location and remedy") {
            withData(
                nameFn = { it.finding },
                Case(
                    "\"host\":\"h\",",
                    "",
                    "routes[0].host: is missing or has the wrong type; correct",
                ),
                Case(
                    "\"host\":\"h\",",
                    "\"host\":\"h\",\"host\":\"g\",",
                    "line 2, column 70: Duplicate field 'host'; remove",
                ),
                Case("150}]}", "150}]} {}", "; remove it there"),
                Case(
                    "{\"name\":\"s\"}",
                    "{\"name\":\"s\"},{\"name\":\"u\"}",
                    "services[1] (u): no route leads to the service; add a route or remove",
                ),
                Case(
                    "\"attempts\":2",
                    "\"attempts\":4",
                    "routes[0] (look): 4 attempts are more than the 3 servers of s; lower",
                ),
            ) { case ->
                val result = check(SOUND.replace(case.from, case.to), "--servers s=3")

                result.stdout shouldContain case.finding
                result.stdout shouldContain "\n1 findings\n"
                result.statusCode shouldBe 1
            }
        }

        // Guards against a stack trace, and against status 1, which means that the text was read.
        context("given an unreadable configuration, when checked, then it says why and exits 2") {
            withData(
                nameFn = { "text '${it.first}'" },
                "{\"version\":7,\n \"routes\": x}" to "line 2, column",
                "" to "the text: is empty; ",
            ) { (text, place) ->
                val result = check(text)

                result.output shouldContain place
                result.output shouldNotContain "Exception"
                result.statusCode shouldBe 2
            }
            withData("check missing.json", "check DIR", "check --against missing.json") { line ->
                val environment = FakeEnvironment().apply { input = SOUND }

                val result = environment.run(line, settingsDirectoryOf())

                result.output shouldContain Regex("(does not exist|cannot be read); \\w+")
                result.output shouldNotContain "Exception"
                result.statusCode shouldBe 2
            }
        }

        // Guards against a change that is not shown, and against keys in the output.
        test("given the version in force, when checked, then each difference is named") {
            val inForce =
                SOUND.replace(":7,", ":6,")
                    .replace("2000", "1000")
                    .replace("[\"secret\"]", "[\"other\",\"secret\"]")
            val environment = FakeEnvironment().apply { input = SOUND }

            val result = environment.run("check --against DIR", fileOf(inForce))

            result.stdout shouldBe
                "differs: configuration version: 6 -> 7\n" +
                    "differs: route look timeout in ms: 1000 -> 2000\n" +
                    "differs: tenant t keys: 2 -> 1 (1 removed, 0 added)\n" +
                    "0 findings, 3 differences\n"
            result.statusCode shouldBe 0
        }

        // Guards against a change that no instance would take over.
        test("given a version that is not above the one in force, then that is a finding") {
            val environment = FakeEnvironment().apply { input = SOUND.replace("2000", "1000") }

            val result = environment.run("check --against DIR", fileOf(SOUND))

            result.stdout shouldContain "version 7 does not replace version 7 in force"
            result.statusCode shouldBe 1
        }

        // Guards against text in the JSON output that breaks scripts.
        test("given --json, when checked, then the output is one JSON object") {
            val result = check(SOUND.replace("\"timeout_ms\":2000", "\"timeout_ms\":100"), "--json")

            result.stdout shouldContain
                """{"findings":[{"kind":"CONTRADICTION","location":"routes[0] (look)","""
            result.stdout shouldContain "\"exitCode\":1}"
        }
    })
