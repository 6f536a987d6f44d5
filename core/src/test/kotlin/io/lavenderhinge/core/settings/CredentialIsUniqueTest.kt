package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class CredentialIsUniqueTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "[model.drafting]",
                "[workspace.b]\ncredential = counter;lubbock#key\n[model.drafting]",
                "[workspace.b] credential: is also the credential of " +
                    "[workspace.counter-lubbock]; give each workspace its own credential",
            )
        )
    })
