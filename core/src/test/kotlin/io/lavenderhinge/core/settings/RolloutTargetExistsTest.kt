package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RolloutTargetExistsTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "target = model.drafting",
                "target = model.x",
                "[rollout.drafting] target = model.x: refers to a section that does not exist; " +
                    "add that section or correct the name",
            )
        )
    })
