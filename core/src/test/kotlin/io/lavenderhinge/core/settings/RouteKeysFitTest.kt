package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RouteKeysFitTest :
    FunSpec({
        faultTable(
            BadInput(
                "service = booking",
                "service = booking\nfirst-token = 1s",
                "[route.book] first-token = 1s: has no effect on the route of a service; remove it",
            ),
            BadInput(
                "model = drafting",
                "model = drafting\nretention = 5m",
                "[route.draft] retention = 5m: has no effect without idempotent = false; remove it",
            ),
        )
    })
