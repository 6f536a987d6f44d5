package io.lavenderhinge.ctl

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.settings.StoredSettings
import kotlin.io.path.writeText

private fun FakeStore.revision(team: String) =
    entries["config/$team"]?.let { StoredSettingsCodec.decode(it.value).getOrNull()!!.revision }

private fun FakeStore.applyAsOtherOperator(team: String, revision: Long, version: String) =
    put(
        "config/$team",
        StoredSettingsCodec.encode(
            StoredSettings(revision, "berta", 1_796_000_000_000, teamText(team, version))
        ),
    )

class ApplyCommandTest :
    FunSpec({
        // Guards against a first apply that loses its author, time or history entry.
        test("given a new team, when applied, then revision 1 and its history are stored") {
            val environment = FakeEnvironment()
            val result = environment.run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t")))
            result.stdout shouldBe "team t: applied revision 1 by anna at 2026-11-30T00:53:20Z\n"
            result.statusCode shouldBe 0
            environment.run("history t").stdout shouldBe
                "revision 1 by anna at 2026-11-30T00:53:20Z\n" +
                    "  [team] name = t (added)\n  [service.s] version = 1 (added)\n"
        }

        // Guards against a lost update: the later write overwrites the other operator's revision.
        test("given two concurrent operators, when both apply, then one gets a conflict") {
            val environment = FakeEnvironment()
            environment.run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t")))
            val mine = settingsDirectoryOf("t.ini" to teamText("t", "2"))
            environment.store.beforeSwap = { environment.store.applyAsOtherOperator("t", 2, "3") }
            val result = environment.run("apply DIR", mine)
            result.statusCode shouldBe 3
            result.stdout shouldBe
                "team t: conflict, not applied: another operator stored revision 2 by berta " +
                    "at 2026-11-30T00:53:20Z\n  [service.s] version: 1 -> 3\n" +
                    "  to resolve: `show --save OTHER_DIR`, merge your change into that text, " +
                    "then `diff OTHER_DIR` and `apply OTHER_DIR`\n"
            environment.store.revision("t") shouldBe 2
        }

        // Guards against a stale file that reverts a change made while it was being edited.
        test("given a change made during editing, when applied, then it is a conflict") {
            val environment = FakeEnvironment()
            environment.run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t")))
            val mine = settingsDirectoryOf()
            environment.run("show --save DIR", mine)
            environment.store.applyAsOtherOperator("t", 2, "3")
            environment.run("apply DIR", mine).stdout shouldContain "an old copy without changes"
            mine.resolve("t.ini").writeText(teamText("t", "2"))
            environment.run("apply DIR", mine).statusCode shouldBe 3
            environment.store.revision("t") shouldBe 2
        }

        // Guards against a retry after a lost response that stores a second revision.
        FakeStore.LostResponse.entries.forEach { lost ->
            test("given a response lost $lost, when applied, then it is applied once") {
                val environment = FakeEnvironment()
                environment.store.lostResponse = lost
                val result =
                    environment.run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t")))
                result.statusCode shouldBe 0
                environment.store.revision("t") shouldBe 1
                environment
                    .run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t")))
                    .stdout shouldBe "team t: unchanged\n"
            }
        }

        // Guards against a write of unknown outcome that is reported as stored or as not stored.
        test("given an outage after a lost response, when applied, then the outcome is unknown") {
            val environment = FakeEnvironment()
            environment.store.lostResponse = FakeStore.LostResponse.AFTER_WRITE
            environment.store.beforeSwap = { environment.store.failsReads = true }
            environment
                .run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t")))
                .statusCode shouldBe 5
        }

        // Guards against an outage that is reported as success or as an unknown outcome.
        test("given an outage, when applied, then nothing is written") {
            val environment = FakeEnvironment()
            environment.store.isUnavailable = true
            environment
                .run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t")))
                .statusCode shouldBe 4
        }

        // Guards against a check of DIR alone, which misses conflicts with stored teams.
        test("given a credential of a stored team, when applied, then nothing is written") {
            val environment = FakeEnvironment()
            val workspace = "[workspace.w]\ncredential = c\n"
            environment.run("apply DIR", settingsDirectoryOf("t.ini" to teamText("t") + workspace))
            val result =
                environment.run(
                    "apply DIR",
                    settingsDirectoryOf("u.ini" to teamText("u") + workspace),
                )
            result.statusCode shouldBe 2
            result.stdout shouldContain
                "u.ini: [workspace.w] credential: is also a credential of team t"
            environment.store.revision("u") shouldBe null
        }

        // Guards against a partial directory that removes teams by accident.
        test("given a team without a file, when applied, then only --remove removes it") {
            val environment = FakeEnvironment()
            environment.run(
                "apply DIR",
                settingsDirectoryOf("t.ini" to teamText("t"), "u.ini" to teamText("u")),
            )
            val rest = settingsDirectoryOf("t.ini" to teamText("t"))
            environment.run("apply DIR", rest)
            environment.store.revision("u") shouldBe 1
            environment.run("apply --remove u DIR", rest).statusCode shouldBe 0
            environment.store.revision("u") shouldBe 2
        }
    })
