package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RouteHasOneTargetTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "model = drafting",
                "model = drafting\nservice = booking",
                "[route.draft] service = booking: is set together with model; keep the one that " +
                    "serves this route",
            ),
            InvalidInput(
                "model = drafting",
                "",
                "[route.draft] model: is missing, and so is service; add model = NAME or " +
                    "service = NAME",
            ),
        )
    })
