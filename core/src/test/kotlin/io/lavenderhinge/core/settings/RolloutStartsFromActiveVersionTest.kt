package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RolloutStartsFromActiveVersionTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "from = 7",
                "from = 6",
                "[rollout.drafting] from = 6: is not in force; version 7 is; write from = 7, " +
                    "or remove the rollout when it is done",
            )
        )
    })
