package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RouteTargetExistsTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "model = drafting",
                "model = draftign",
                "[route.draft] model = draftign: names no section of this team; add " +
                    "[model.draftign] or correct the name",
            ),
            InvalidInput(
                "service = booking",
                "service = b",
                "[route.book] service = b: names no section of this team; add [service.b] or " +
                    "correct the name",
            ),
        )
    })
