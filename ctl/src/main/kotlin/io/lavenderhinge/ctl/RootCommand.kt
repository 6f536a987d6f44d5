package io.lavenderhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** Root command of `lavenderhingectl`. */
class RootCommand : CliktCommand(name = "lavenderhingectl") {
    override fun help(context: Context): String =
        "Checks, applies and explains the settings of lavenderhinge. DIR contains one TEAM.ini " +
            "per team. Usual order: show --save DIR, edit, validate DIR, diff DIR, apply DIR, " +
            "status. check reads the operator's configuration of the platform instead."

    override fun helpEpilog(context: Context): String =
        "Exit codes: " + ExitCode.entries.joinToString("; ") { "${it.code} ${it.meaning}" } + "."

    override fun run() = Unit
}
