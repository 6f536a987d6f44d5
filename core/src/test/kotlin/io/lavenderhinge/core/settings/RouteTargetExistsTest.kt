package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RouteTargetExistsTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "model = drafting",
                "model = draftign",
                "[route.draft] model = draftign: refers to a section that does not exist; " +
                    "add [model.draftign] or correct the name",
            ),
            InvalidInput(
                "service = booking",
                "service = b",
                "[route.book] service = b: refers to a section that does not exist; " +
                    "add [service.b] or correct the name",
            ),
        )
    })
