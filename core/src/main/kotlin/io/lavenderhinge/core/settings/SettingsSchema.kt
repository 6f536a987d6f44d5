package io.lavenderhinge.core.settings

/**
 * A settings key and the type of its value. [default] is the text used when the key is absent; a
 * key with neither [default] nor [required] is null when absent.
 */
internal class SettingKey<T : Any>(
    val name: String,
    val type: ValueType<T>,
    val description: String,
    val default: String? = null,
    val required: Boolean = false,
    val secret: Boolean = false,
)

/** A kind of section: `[kind]`, or `[kind.NAME]` when [named]. */
internal class SectionSchema(
    val kind: String,
    val named: Boolean,
    val required: Boolean,
    val keys: List<SettingKey<*>>,
) {
    /** Name as shown to operators. */
    val title = if (named) "$kind.NAME" else kind
}
