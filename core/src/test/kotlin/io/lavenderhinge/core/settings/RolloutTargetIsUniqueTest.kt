package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class RolloutTargetIsUniqueTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "[rollout.drafting]",
                "[rollout.a]\ntarget = model.drafting\nfrom = 7\nto = 9\ndeadline = " +
                    "2026-12-05T06:00:00Z\n[rollout.drafting]",
                "[rollout.drafting] target = model.drafting: is also the target of " +
                    "[rollout.a]; keep one of the two rollouts",
            )
        )
    })
