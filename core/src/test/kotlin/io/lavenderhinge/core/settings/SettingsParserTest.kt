package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.Tier
import kotlinx.collections.immutable.persistentListOf

/** A valid team; tests add to it or replace lines of it. */
internal val validTeam =
    """
    [team]
    name = caprock

    [workspace.counter-lubbock]
    weight = 4
    credential = counter;lubbock#key   ; value of the Authorization bearer token

    [model.drafting]
    version = 7

    [service.booking]
    version = 3

    [route.draft]
    path = /v1/chat/completions
    model = drafting
    tier = interactive

    [route.book]
    path = /booking/reserve
    service = booking
    idempotent = false
    deadline = 10s

    [rollout.drafting]
    target = model.drafting
    from = 7
    to = 8
    deadline = 2026-12-05T06:00:00Z
    """
        .trimIndent()

/** Returns the messages of the faults in [text]. */
internal fun faultsOf(text: String, team: String = "caprock"): List<String> =
    SettingsParser.parse(team, 1, text, "$team.ini")
        .fold({ it.map { f -> f.message } }, { listOf() })

class SettingsParserTest :
    FunSpec({
        test("given a team, when parsed, then every value and default is in its field") {
            val settings = SettingsParser.parse("caprock", 5, validTeam).getOrNull()!!
            settings.revision shouldBe 5
            settings.workspaces shouldBe
                persistentListOf(Workspace("counter-lubbock", 4.0, "counter;lubbock#key"))
            settings.routes[0] shouldBe
                Route(
                    "draft",
                    "/v1/chat/completions",
                    Target.Model("drafting"),
                    Tier.INTERACTIVE,
                    idempotent = true,
                    deadlineMillis = 30_000,
                    firstTokenMillis = 1_000,
                    betweenTokensMillis = 46,
                    retentionMillis = 600_000,
                    UntimedKeys.REFUSE,
                )
            settings.rollouts.single() shouldBe
                RolloutSettings(
                    "drafting",
                    Target.Model("drafting"),
                    "7",
                    "8",
                    1_796_450_400_000,
                    0.05,
                )
        }

        test("given an empty text, when parsed, then the team has no settings") {
            SettingsParser.parse("caprock", 9, " \n").getOrNull() shouldBe
                TeamSettings("caprock", 9)
        }

        test("given a value that refers to the environment, when parsed, then it is not expanded") {
            val text = validTeam.replace("version = 3", "version = \${env:HOME}")
            SettingsParser.parse("caprock", 1, text).getOrNull()!!.targets[1].version shouldBe
                "\${env:HOME}"
        }

        test("given several faults, when parsed, then all are reported at once") {
            val text =
                validTeam
                    .replace("weight = 4", "wieght = 4")
                    .replace("deadline = 10s", "deadline = 10")
                    .replace("from = 7", "from = 6") + "\n[worksapce.x]\ncredential = y\n"
            faultsOf(text) shouldContainExactly
                listOf(
                    "caprock.ini: [workspace.counter-lubbock] wieght: is not a known key; " +
                        "the nearest known key is weight",
                    "caprock.ini: [worksapce.x]: is not a known section; " +
                        "the nearest known section is [workspace.NAME]",
                    "caprock.ini: [route.book] deadline = 10: has no unit; " +
                        "write 10s or 10ms, whichever is meant",
                    "caprock.ini: [rollout.drafting] from = 6: is not in force; " +
                        "version 7 is; write from = 7, or remove the rollout when it is done",
                )
        }
    })
