package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class TeamNameMatchesTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "name = caprock",
                "name = pelnu",
                "[team] name = pelnu: does not match the file, which is for team caprock; " +
                    "write name = caprock or rename the file",
            )
        )
    })
