package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** A line of [validTeam], the invalid text that replaces it, and the expected message. */
internal class InvalidInput(val line: String, val faulty: String, val message: String)

/** Registers a test for each of [inputs] that only the expected fault is reported. */
internal fun FunSpec.invalidInputTests(vararg inputs: InvalidInput) =
    inputs.forEach { input ->
        test("given `${input.faulty}` for `${input.line}`, when parsed, then it is the one fault") {
            check(input.line in validTeam)
            faultsOf(validTeam.replaceFirst(input.line, input.faulty)) shouldBe
                listOf("caprock.ini: ${input.message}")
        }
    }
