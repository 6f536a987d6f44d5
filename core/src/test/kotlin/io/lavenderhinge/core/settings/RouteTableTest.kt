package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.Tier
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

class RouteTableTest :
    FunSpec({
        fun route(name: String, path: String, target: Target) =
            Route(
                name = name,
                path = path,
                target = target,
                tier = Tier.STANDARD,
                idempotent = true,
                deadlineMillis = 1_000,
                firstTokenMillis = 1_000,
                betweenTokensMillis = 46,
                retentionMillis = 60_000,
                untimedKeys = UntimedKeys.REFUSE,
            )
        val team =
            TeamSettings(
                team = "caprock",
                revision = 1,
                workspaces = persistentListOf(Workspace("lubbock", 1.0, "token-1")),
                routes =
                    persistentListOf(
                        route("draft", "/v1/chat/completions", Target.Model("drafting")),
                        route("summary", "/v1/chat/completions", Target.Model("summaries")),
                        route("booking", "/booking", Target.Service("booking")),
                        route("reserve", "/booking/reserve", Target.Service("booking")),
                    ),
            )
        val table = RouteTable(SettingsTree(persistentMapOf("caprock" to team)))

        data class Case(val path: String, val model: String?, val expected: String?)

        context("given overlapping routes, when a request is matched, then the closest one wins") {
            withData(
                nameFn = { "${it.path} ${it.model} -> ${it.expected}" },
                Case("/v1/chat/completions", "summaries", "summary"),
                Case("/v1/chat/completions", "drafting", "draft"),
                Case("/v1/chat/completions", "unknown", null),
                Case("/booking/stock", null, "booking"),
                Case("/booking/reserve", null, "reserve"),
                Case("/booking/reserve/7", null, "reserve"),
                Case("/bookings", null, null),
                Case("/", null, null),
            ) { (path, model, expected) ->
                table.routeFor(team, path, model)?.name shouldBe expected
            }
        }

        test("given a credential, when looked up, then only the exact token finds its workspace") {
            table.workspaceFor("token-1")?.workspace?.id shouldBe "lubbock"
            table.workspaceFor("token-10") shouldBe null
        }
    })
