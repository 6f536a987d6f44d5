package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.File

private val row = Regex("""\| `.*` \| .* \|""")

private fun rows(sections: List<SectionSchema>): List<String> =
    sections.flatMap { section ->
        section.keys.map { key ->
            val default =
                key.default?.let { "`$it`".replace("``", "none") }
                    ?: if (key.required) "required" else "none"
            val place = "`[${section.title}]` | `${key.name}`"
            "| $place | ${key.description} | ${key.type.unit} | ${key.type.range} | $default |"
        }
    }

/** Guards against a reference page that omits a key or gives a wrong unit, range or default. */
class ReferenceTest :
    FunSpec({
        test("given the code, when compared with docs/settings.md, then every key is the same") {
            val page = File("../docs/settings.md").readLines().filter { row.matches(it) }
            val expected =
                rows(TeamSchema.sections) +
                    rows(BootstrapSchema.sections) +
                    rows(GatewaySchema.sections)
            page shouldBe expected
        }
    })
