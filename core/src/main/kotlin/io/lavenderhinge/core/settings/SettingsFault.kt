package io.lavenderhinge.core.settings

/** Kind of a [SettingsFault]. Programs branch on it; the message is for operators. */
enum class FaultKind {
    UNREADABLE,
    UNKNOWN_SECTION,
    UNKNOWN_KEY,
    DUPLICATE_SECTION,
    DUPLICATE_KEY,
    MISSING_SECTION,
    MISSING_KEY,
    INVALID_NAME,
    INVALID_VALUE,
    UNKNOWN_REFERENCE,
    CONTRADICTION,
    NOT_UNIQUE,
}

/**
 * One fault in a settings text. [section], [key] and [value] are empty where they do not apply;
 * [value] never contains a credential.
 */
data class SettingsFault(
    val kind: FaultKind,
    val file: String,
    val section: String,
    val key: String,
    val value: String,
    val reason: String,
    val remedy: String,
) {
    /** One line for operators: the location, the reason and the remedy. */
    val message: String
        get() {
            val inSection = if (section.isEmpty()) "" else " [$section]"
            val atKey = if (key.isEmpty()) "" else " $key"
            val withValue = if (value.isEmpty()) "" else " = $value"
            return "$file:$inSection$atKey$withValue: $reason; $remedy"
        }
}
