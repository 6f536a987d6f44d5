package io.lavenderhinge.core.settings

/** Reads the keys of one section and adds the faults in them to [faults]. */
internal class SectionReader(
    private val file: String,
    private val section: IniSection,
    val schema: SectionSchema,
    private val faults: MutableList<SettingsFault>,
) {
    /** Name after the dot; empty for a section without one. */
    val name: String = section.name.substringAfter('.', missingDelimiterValue = "")

    /** Returns the value of [key] or its default; null when it is absent or invalid. */
    fun <T : Any> value(key: SettingKey<T>): T? {
        val entry = section.entries.firstOrNull { it.key == key.name }
        val text = entry?.values?.first() ?: key.default
        if (text == null) {
            if (key.required) {
                val remedy = "add ${key.name} (${key.type.unit}): ${key.type.range}"
                faults += fault(FaultKind.MISSING_KEY, key, "", "is missing", remedy)
            }
            return null
        }
        return key.type
            .parse(text)
            .onLeft { faults += fault(FaultKind.INVALID_VALUE, key, text, it.reason, it.remedy) }
            .getOrNull()
    }

    /** True when the text sets [key]. */
    fun isSet(key: SettingKey<*>): Boolean = section.entries.any { it.key == key.name }

    /** True when the text sets [key] to [text]. */
    fun hasValue(key: SettingKey<*>, text: String): Boolean =
        section.entries.any { it.key == key.name && it.values.first() == text }

    /** Reports keys that are not in the schema, and keys that are set more than once. */
    fun reportUnknownKeys() {
        section.entries.forEach { entry ->
            val key = schema.keys.firstOrNull { it.name == entry.key }
            if (key == null) {
                val nearest = NearestName.of(entry.key, schema.keys.map { it.name })
                val remedy = "the nearest known key is $nearest"
                faults += fault(FaultKind.UNKNOWN_KEY, entry.key, "", "is not a known key", remedy)
            } else if (entry.values.size > 1) {
                val reason = "is set ${entry.values.size} times"
                faults += fault(FaultKind.DUPLICATE_KEY, key, "", reason, "keep one of them")
            }
        }
    }

    /** Returns a fault at [key] with the text of the key as its value. */
    fun fault(kind: FaultKind, key: SettingKey<*>, reason: String, remedy: String): SettingsFault {
        val text = section.entries.firstOrNull { it.key == key.name }?.values?.first().orEmpty()
        return fault(kind, key, text, reason, remedy)
    }

    private fun fault(
        kind: FaultKind,
        key: SettingKey<*>,
        value: String,
        reason: String,
        remedy: String,
    ): SettingsFault = fault(kind, key.name, if (key.secret) "" else value, reason, remedy)

    private fun fault(kind: FaultKind, key: String, value: String, reason: String, remedy: String) =
        SettingsFault(kind, file, section.name, key, value, reason, remedy)
}
