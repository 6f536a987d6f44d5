package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class TargetNameIsUniqueTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "[route.draft]",
                "[service.drafting]\nversion = 1\n[route.draft]",
                "[service.drafting] version = 1: is set for a service with the same name as " +
                    "[model.drafting]; rename the service or the model",
            )
        )
    })
