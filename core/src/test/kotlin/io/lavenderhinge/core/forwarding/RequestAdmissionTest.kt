package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class RequestAdmissionTest :
    FunSpec({
        fun decide(view: ConfigurationView, request: RequestDescription) =
            RequestAdmission(QuotaLimiter(noTolerance)).decide(view, request, nowMillis = 0)

        fun request(path: String, credential: String? = null, tokens: Int? = null) =
            RequestDescription("h", path, credential, tokens)

        fun confirmed(table: ForwardingTable) = ConfigurationView(table, isConfirmed = true)

        // Guards against a low-priority route of a workspace ranking above its most urgent one.
        test(
            "given one workspace, when routes differ in priority, then the urgent one ranks first"
        ) {
            val routes = listOf(route("/draft/", priority = 0), route("/check/", priority = 2))
            val view = confirmed(table(routes, listOf(workspace("w", priority = 1))))

            val draft = decide(view, request("/draft/1", "key-w"))
            val check = decide(view, request("/check/1", "key-w"))

            val draftRank = draft.shouldBeInstanceOf<Admission.Admitted>().priority
            val checkRank = check.shouldBeInstanceOf<Admission.Admitted>().priority
            (draftRank < checkRank) shouldBe true
        }

        test("given two workspaces, when one is more urgent, then any of its routes ranks first") {
            val routes = listOf(route("/draft/", priority = 0), route("/check/", priority = 2))
            val workspaces = listOf(workspace("urgent", priority = 0), workspace("w", priority = 1))
            val view = confirmed(table(routes, workspaces))

            val check = decide(view, request("/check/1", "key-urgent"))
            val draft = decide(view, request("/draft/1", "key-w"))

            val checkRank = check.shouldBeInstanceOf<Admission.Admitted>().priority
            val draftRank = draft.shouldBeInstanceOf<Admission.Admitted>().priority
            (checkRank < draftRank) shouldBe true
        }

        test("given an unknown path, when the configuration is confirmed, then it is denied") {
            val result = decide(confirmed(table(listOf(route("/a/")))), request("/b/1"))

            result shouldBe Admission.Rejected(Rejection.NO_ROUTE)
        }

        // Guards against denying a route permanently that a newer configuration has added.
        test("given an unknown path, when the store is unavailable, then the client may retry") {
            val view = ConfigurationView(table(listOf(route("/a/"))), isConfirmed = false)

            val result = decide(view, request("/b/1"))

            result.shouldBeInstanceOf<Admission.Rejected>().reason shouldBe
                Rejection.CONFIGURATION_UNCONFIRMED
        }

        test("given no configuration, then the client may retry") {
            val result = decide(ConfigurationView(null, isConfirmed = false), request("/a/1"))

            result.shouldBeInstanceOf<Admission.Rejected>().reason shouldBe
                Rejection.NO_CONFIGURATION
        }

        test(
            "given workspaces, when the credential is unknown, then only anonymous routes admit it"
        ) {
            val routes = listOf(route("/a/"), route("/open/", allowsAnonymous = true))
            val view = confirmed(table(routes, listOf(workspace("w"))))

            decide(view, request("/a/1", "key-other")) shouldBe
                Admission.Rejected(Rejection.UNKNOWN_CREDENTIAL)
            decide(view, request("/open/1")).shouldBeInstanceOf<Admission.Admitted>()
        }
    })
