package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class ModelRouteIsIdempotentTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "tier = interactive",
                "idempotent = false",
                "[route.draft] idempotent = false: is not possible on the route of a model; " +
                    "remove it, or let a service answer the route",
            )
        )
    })
