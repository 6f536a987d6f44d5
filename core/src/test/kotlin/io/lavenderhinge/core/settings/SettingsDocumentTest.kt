package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class SettingsDocumentTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "[team]",
                "x = 1\n[team]",
                "x: is outside any section; move it below the header of its section",
            ),
            InvalidInput("[team]\nname = caprock", "", "[team]: is missing; add section [team]"),
            InvalidInput(
                "[workspace.counter-lubbock]",
                "[workspace.Counter]",
                "[workspace.Counter]: does not have a valid name; name it " +
                    "workspace.NAME with 1 to 63 of a-z, 0-9 and -, no - at either end",
            ),
            InvalidInput(
                "[route.draft]",
                "[routes]\n[route.draft]",
                "[routes]: is not a known section; the nearest known section is [route.NAME]",
            ),
            InvalidInput(
                "[route.draft]",
                "[service.booking]\n[route.draft]",
                "[service.booking]: appears twice; put its keys in one section",
            ),
        )
    })
