package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec

class SectionReaderTest :
    FunSpec({
        invalidInputTests(
            InvalidInput(
                "path = /booking/reserve",
                "",
                "[route.book] path: is missing; add path (path): / and segments of letters, " +
                    "digits and . _ ~ -",
            ),
            InvalidInput(
                "weight = 4",
                "weihgt = 4",
                "[workspace.counter-lubbock] weihgt: is not a known key; the nearest known key " +
                    "is weight",
            ),
            InvalidInput(
                "weight = 4",
                "weight = 4\nweight = 5",
                "[workspace.counter-lubbock] weight: is set 2 times; keep one of them",
            ),
            InvalidInput(
                "weight = 4",
                "weight = -4",
                "[workspace.counter-lubbock] weight = -4: is not a number; write a value in 0.01 " +
                    "to 1000",
            ),
            InvalidInput(
                "deadline = 10s",
                "deadline = 10",
                "[route.book] deadline = 10: has no unit; write 10s or 10ms, whichever is meant",
            ),
            InvalidInput(
                "deadline = 10s",
                "deadline = 2h",
                "[route.book] deadline = 2h: is too large; write a value in 10ms to 1h",
            ),
            InvalidInput(
                "deadline = 10s",
                "deadline = 10sec",
                "[route.book] deadline = 10sec: has the unknown unit sec; use ms, s, m, h or d",
            ),
            InvalidInput(
                "/booking/reserve",
                "booking",
                "[route.book] path = booking: is not a path; write it as /v1/chat/completions",
            ),
            InvalidInput(
                "tier = interactive",
                "tier = urgent",
                "[route.draft] tier = urgent: is not one of the allowed values; write " +
                    "interactive or standard or batch",
            ),
            InvalidInput(
                "to = 8",
                "to = 8\nunproved-share = 0.05",
                "[rollout.drafting] unproved-share = 0.05: has no percent sign; write a share " +
                    "as 5%",
            ),
            InvalidInput(
                "to = 8",
                "to = 8\nunproved-share = 60%",
                "[rollout.drafting] unproved-share = 60%: is too large; write a value in 0.1% " +
                    "to 25%",
            ),
            InvalidInput(
                "2026-12-05T06:00:00Z",
                "2026-12-05 06:00",
                "[rollout.drafting] deadline = 2026-12-05 06:00: is not a time with an offset; " +
                    "write it as 2026-12-05T06:00:00Z",
            ),
            InvalidInput(
                "target = model.drafting",
                "target = drafting",
                "[rollout.drafting] target = drafting: does not name a section; " +
                    "write model.NAME or service.NAME",
            ),
        )
    })
