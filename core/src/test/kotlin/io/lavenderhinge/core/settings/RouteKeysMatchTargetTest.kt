package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RouteKeysMatchTargetTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "service = booking",
                "service = booking\nfirst-token = 1s",
                "[route.book] first-token = 1s: has no effect on a service route; remove it",
            ),
            InvalidInput(
                "model = drafting",
                "model = drafting\nretention = 5m",
                "[route.draft] retention = 5m: has no effect without idempotent = false; remove it",
            ),
        )
    })
