package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class TeamNameMatchesTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "name = caprock",
                "name = pelnu",
                "[team] name = pelnu: is not the team of this file, caprock; write name = " +
                    "caprock or rename the file",
            )
        )
    })
