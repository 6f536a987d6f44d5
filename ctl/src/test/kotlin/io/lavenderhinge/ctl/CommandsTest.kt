package io.lavenderhinge.ctl

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.core.settings.TreeHash

private fun domainStatus(hash: String, revision: Long, atMillis: Long = 1_796_000_000_000) =
    """{"failureDomain":"a","atMillis":$atMillis,"treeHash":"$hash","teams":{"t":$revision},""" +
        """"instances":3,"agreeing":3,"rejected":[]}"""

private fun applied() =
    FakeEnvironment().apply { run("apply DIR", directoryOf("t.ini" to team("t"))) }

class CommandsTest :
    FunSpec({
        test("given faulty files, when validated, then all faults are shown with exit code 2") {
            val directory = directoryOf("t.ini" to "[team]\nnam = t\n[servce.s]\n")
            val result = FakeEnvironment().run("validate DIR", directory)
            result.stdout shouldBe
                "t.ini: [team] nam: is not a known key; the nearest known key is name\n" +
                    "t.ini: [servce.s]: is not a known section; the nearest known section is " +
                    "[service.NAME]\n" +
                    "t.ini: [team] name: is missing; add name (name): 1 to 63 of a-z, 0-9 and -, " +
                    "no - at either end\n3 faults; nothing was written\n"
            result.statusCode shouldBe 2
        }

        test("given a changed file, when compared, then each changed key is shown") {
            val result = applied().run("diff DIR", directoryOf("t.ini" to team("t", "2")))
            result.stdout shouldBe
                "team t differs from revision 1 by anna at 2026-11-30T00:53:20Z\n" +
                    "  [service.s] version: 1 -> 2\n1 of 1 teams would change\n"
            result.statusCode shouldBe 6
        }

        test("given a domain that follows, when asked for status, then it is in force there") {
            val environment = applied()
            val hash = TreeHash.of(mapOf("t" to 1L)).toString(16)
            environment.store.put("status/settings/a", domainStatus(hash, 1))
            environment.store.put("status/rollout/t/r", "done: version 8 serves all")
            val result = environment.run("status")
            result.stdout shouldBe
                "team t: revision 1 by anna at 2026-11-30T00:53:20Z\n" +
                    "failure domain a: every stored revision is in force, confirmed by 3 of 3 " +
                    "instances (0 s ago)\nrollout/t/r: done: version 8 serves all\n"
            result.statusCode shouldBe 0
        }

        listOf(
                domainStatus("0", 0) to "t has revision 0, stored is 1",
                domainStatus("0", 1, atMillis = 1_795_999_000_000) to "no statement for 1000 s",
            )
            .forEach { (status, statement) ->
                test("given a domain that is behind, when asked, then `$statement` is said") {
                    val environment = applied()
                    environment.store.put("status/settings/a", status)
                    environment.run("status").stdout shouldContain statement
                    environment.run("status").statusCode shouldBe 6
                }
            }

        test("given an instance, when asked to explain, then its answer is shown as lines") {
            val environment = FakeEnvironment()
            environment.operators["/explain?team=t&route=r&workspace=w"] =
                OperatorAnswer(200, """{"server":"s-1","because":["lowest expected wait"]}""")
            environment.run("explain --operator 127.0.0.1:1 t r w").stdout shouldBe
                "server: s-1\nbecause: lowest expected wait\n"
            environment.run("explain --operator 127.0.0.1:1 t r x").statusCode shouldBe 4
        }

        test("given --output json, when shown, then the output is one JSON object") {
            val result = applied().run("show --output json")
            result.stdout shouldContain """{"teams":{"t":{"revision":1,"author":"anna","""
        }

        test("given --help, when run, then every exit code is named") {
            val help = FakeEnvironment().run("--help").stdout.replace(Regex("\\s+"), " ")
            ExitCode.entries.forEach { help shouldContain "${it.code} ${it.meaning}" }
        }
    })
