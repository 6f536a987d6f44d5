package io.lavenderhinge.core.forwarding

/** Kind of a [ConfigurationFinding]. Programs branch on it; the message is for operators. */
enum class FindingKind {
    /** A field is missing or has the wrong type. */
    INVALID_VALUE,
    /** A name, key or field stands in two places, of which one has no effect. */
    DUPLICATE,
    /** The entry can never match a request. */
    UNREACHABLE,
    /** The entry names something that does not exist. */
    UNKNOWN_REFERENCE,
    /** Two limits contradict each other. */
    CONTRADICTION,
}

/**
 * Something in a configuration that is probably not what the operator wants. [location] is a path
 * such as `routes[2] (look-up)`; no text contains a credential.
 */
data class ConfigurationFinding(
    val kind: FindingKind,
    val location: String,
    val reason: String,
    val remedy: String,
) {
    /** One line for operators: the location, the reason and the remedy. */
    val message: String
        get() = "$location: $reason; $remedy"
}
