package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RolloutChangesVersionTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "to = 8",
                "to = 7",
                "[rollout.drafting] to = 7: is the version that the rollout starts from; " +
                    "write the new version, or remove the rollout",
            )
        )
    })
