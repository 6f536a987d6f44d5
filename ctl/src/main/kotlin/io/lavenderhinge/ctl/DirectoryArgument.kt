package io.lavenderhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path

/** Adds the argument DIR, which must be an existing directory. */
internal fun CliktCommand.directoryArgument() =
    argument("DIR", help = "directory with one TEAM.ini per team")
        .path(mustExist = true, canBeFile = false)
