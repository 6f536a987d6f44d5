package io.lavenderhinge.core.settings

/** The sections of one text, validated against a schema. [faults] has all faults found. */
internal class SettingsDocument(
    private val file: String,
    sections: List<IniSection>,
    private val schema: List<SectionSchema>,
) {
    private val readers = mutableListOf<SectionReader>()

    /** Faults in the order of the text. */
    val faults = mutableListOf<SettingsFault>()

    init {
        sections.forEach(::addSection)
        schema
            .filter { it.required && readers.none { reader -> reader.schema == it } }
            .forEach {
                report(FaultKind.MISSING_SECTION, it.kind, "is missing", "add section [${it.kind}]")
            }
    }

    /** Sections of [kind], in the order of the text. */
    fun all(kind: String): List<SectionReader> = readers.filter { it.schema.kind == kind }

    /** The section `kind.name`, which must exist. */
    fun named(kind: String, name: String): SectionReader = all(kind).first { it.name == name }

    /** True when [target] has a section of its own. */
    fun hasTarget(target: Target): Boolean =
        when (target) {
            is Target.Model -> all("model").any { it.name == target.name }
            is Target.Service -> all("service").any { it.name == target.name }
        }

    /** The section of [kind], empty when it is absent. */
    fun single(kind: String): SectionReader =
        all(kind).firstOrNull()
            ?: SectionReader(
                file,
                IniSection(kind, emptyList(), repeated = false),
                schema.first { it.kind == kind },
                mutableListOf(),
            )

    private fun addSection(section: IniSection) {
        val kind = section.name.substringBefore('.')
        val matching = schema.firstOrNull { it.kind == kind }
        when {
            section.name.isEmpty() ->
                section.entries.forEach {
                    val remedy = "move it below the header of its section"
                    faults +=
                        fault(FaultKind.UNKNOWN_KEY, "", it.key, "is outside any section", remedy)
                }
            matching == null -> reportUnknownSection(section.name)
            matching.named != section.name.contains('.') -> reportUnknownSection(section.name)
            else -> addKnownSection(section, matching)
        }
    }

    private fun addKnownSection(section: IniSection, matching: SectionSchema) {
        val name = section.name.substringAfter('.', missingDelimiterValue = "")
        if (matching.named && NameType.parse(name).isLeft()) {
            val remedy = "name it ${matching.kind}.NAME with ${NameType.range}"
            report(FaultKind.INVALID_NAME, section.name, "does not have a valid name", remedy)
        }
        if (section.repeated) {
            val remedy = "put its keys in one section"
            report(FaultKind.DUPLICATE_SECTION, section.name, "appears twice", remedy)
        }
        val reader = SectionReader(file, section, matching, faults)
        reader.reportUnknownKeys()
        readers += reader
    }

    private fun reportUnknownSection(name: String) {
        val nearest = NearestName.of(name.substringBefore('.'), schema.map { it.kind })
        val title = schema.first { it.kind == nearest }.title
        val remedy = "the nearest known section is [$title]"
        report(FaultKind.UNKNOWN_SECTION, name, "is not a known section", remedy)
    }

    private fun report(kind: FaultKind, section: String, reason: String, remedy: String) {
        faults += fault(kind, section, "", reason, remedy)
    }

    private fun fault(
        kind: FaultKind,
        section: String,
        key: String,
        reason: String,
        remedy: String,
    ) = SettingsFault(kind, file, section, key, value = "", reason, remedy)
}
