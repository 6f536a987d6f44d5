package io.lavenderhinge.ctl

/** Exit codes of `lavenderhingectl`; the help lists each [code] with its [meaning]. */
enum class ExitCode(val code: Int, val meaning: String) {
    DONE(0, "done"),
    USAGE(1, "wrong usage"),
    FINDINGS(1, "`check` has findings"),
    INVALID(2, "the settings are invalid; nothing was written"),
    UNREADABLE(2, "`check` could not read a configuration"),
    CONFLICT(3, "another operator changed the settings; nothing of the named team was written"),
    UNREACHABLE(4, "the key-value service or an instance could not be reached"),
    UNKNOWN(5, "the answer to a write was lost and could not be read back; run `diff`"),
    DIFFERENT(6, "`diff` found differences, or `status` a domain or text that is behind"),
}
