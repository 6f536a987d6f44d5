package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class DeadlineCoversFirstTokenTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "tier = interactive",
                "deadline = 500ms",
                "[route.draft] deadline = 500ms: is shorter than first-token; raise deadline " +
                    "or lower first-token",
            )
        )
    })
