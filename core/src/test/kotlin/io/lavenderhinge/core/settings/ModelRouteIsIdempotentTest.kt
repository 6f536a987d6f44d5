package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class ModelRouteIsIdempotentTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "tier = interactive",
                "idempotent = false",
                "[route.draft] idempotent = false: is not supported on a model route; " +
                    "remove it, or route to a service",
            )
        )
    })
