package io.lavenderhinge.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class TierTest :
    FunSpec({
        test("given two tiers, when compared, then only the more urgent one outranks the other") {
            Tier.INTERACTIVE.outranks(Tier.BATCH) shouldBe true
            Tier.BATCH.outranks(Tier.INTERACTIVE) shouldBe false
            Tier.BATCH.outranks(Tier.BATCH) shouldBe false
        }
    })
