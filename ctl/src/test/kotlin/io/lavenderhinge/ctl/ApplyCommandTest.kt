package io.lavenderhinge.ctl

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.settings.StoredSettings
import kotlin.io.path.writeText

private fun FakeStore.revision(team: String) =
    entries["config/$team"]?.let { StoredSettingsCodec.decode(it.value).getOrNull()!!.revision }

private fun FakeStore.otherOperator(team: String, revision: Long, version: String) =
    put(
        "config/$team",
        StoredSettingsCodec.encode(
            StoredSettings(revision, "berta", 1_796_000_000_000, team(team, version))
        ),
    )

class ApplyCommandTest :
    FunSpec({
        test("given a new team, when applied, then revision 1 and its history are stored") {
            val environment = FakeEnvironment()
            val result = environment.run("apply DIR", directoryOf("t.ini" to team("t")))
            result.stdout shouldBe "team t: applied revision 1 by anna at 2026-11-30T00:53:20Z\n"
            result.statusCode shouldBe 0
            environment.run("history t").stdout shouldBe
                "revision 1 by anna at 2026-11-30T00:53:20Z\n" +
                    "  [team] name = t (added)\n  [service.s] version = 1 (added)\n"
        }

        test("given two operators at once, when both apply, then one gets a conflict") {
            val environment = FakeEnvironment()
            environment.run("apply DIR", directoryOf("t.ini" to team("t")))
            val mine = directoryOf("t.ini" to team("t", "2"))
            environment.store.beforeSwap = { environment.store.otherOperator("t", 2, "3") }
            val result = environment.run("apply DIR", mine)
            result.statusCode shouldBe 3
            result.stdout shouldBe
                "team t: conflict, not applied: another operator stored revision 2 by berta " +
                    "at 2026-11-30T00:53:20Z\n  [service.s] version: 1 -> 3\n" +
                    "  to go on: `show --save OTHER_DIR`, put your change into that text, then " +
                    "`diff OTHER_DIR` and `apply OTHER_DIR`\n"
            environment.store.revision("t") shouldBe 2
        }

        test("given a change during the editing, when applied, then it is a conflict as well") {
            val environment = FakeEnvironment()
            environment.run("apply DIR", directoryOf("t.ini" to team("t")))
            val mine = directoryOf()
            environment.run("show --save DIR", mine)
            environment.store.otherOperator("t", 2, "3")
            environment.run("apply DIR", mine).stdout shouldContain "an old copy without changes"
            mine.resolve("t.ini").writeText(team("t", "2"))
            environment.run("apply DIR", mine).statusCode shouldBe 3
            environment.store.revision("t") shouldBe 2
        }

        FakeStore.LostAnswer.entries.forEach { lost ->
            test("given an answer lost $lost, when applied, then it is applied once") {
                val environment = FakeEnvironment()
                environment.store.lostAnswer = lost
                val result = environment.run("apply DIR", directoryOf("t.ini" to team("t")))
                result.statusCode shouldBe 0
                environment.store.revision("t") shouldBe 1
                environment.run("apply DIR", directoryOf("t.ini" to team("t"))).stdout shouldBe
                    "team t: unchanged\n"
            }
        }

        test("given the service goes away after a lost answer, then the outcome is unknown") {
            val environment = FakeEnvironment()
            environment.store.lostAnswer = FakeStore.LostAnswer.AFTER_WRITE
            environment.store.beforeSwap = { environment.store.failReads = true }
            environment.run("apply DIR", directoryOf("t.ini" to team("t"))).statusCode shouldBe 5
        }

        test("given an outage, when applied, then nothing is written") {
            val environment = FakeEnvironment()
            environment.store.isDown = true
            environment.run("apply DIR", directoryOf("t.ini" to team("t"))).statusCode shouldBe 4
        }

        test("given a credential of a stored team, when applied, then nothing is written") {
            val environment = FakeEnvironment()
            val workspace = "[workspace.w]\ncredential = c\n"
            environment.run("apply DIR", directoryOf("t.ini" to team("t") + workspace))
            val result = environment.run("apply DIR", directoryOf("u.ini" to team("u") + workspace))
            result.statusCode shouldBe 2
            result.stdout shouldContain
                "u.ini: [workspace.w] credential: is also a credential of team t"
            environment.store.revision("u") shouldBe null
        }

        test("given a team without a file, when applied, then only --remove removes it") {
            val environment = FakeEnvironment()
            environment.run("apply DIR", directoryOf("t.ini" to team("t"), "u.ini" to team("u")))
            val rest = directoryOf("t.ini" to team("t"))
            environment.run("apply DIR", rest)
            environment.store.revision("u") shouldBe 1
            environment.run("apply --remove u DIR", rest).statusCode shouldBe 0
            environment.store.revision("u") shouldBe 2
        }
    })
