package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.SettingsParser

/** `validate DIR`: checks the files locally, without calling the key-value service. */
class ValidateCommand(private val environment: Environment) :
    CtlCommand("validate", "Checks the files in DIR and reports all faults at once.") {
    private val directory by directoryArgument()

    override suspend fun execute(): Report {
        val files = SettingsDirectory(directory).readFiles()
        if (files.isEmpty()) return Report.failure("DIR contains no .ini file", ExitCode.USAGE)
        val faults = SettingsDirectory.validate(files)
        if (faults.isNotEmpty()) return ReportFormat.invalidSettings(faults)
        val warnings = files.flatMap { warnings(it, environment.nowMillis()) }
        val lines =
            warnings.map { Line(it, Severity.WARNING) } +
                Line("${files.size} files are valid", Severity.SUCCESS)
        return Report(lines, mapOf("valid" to true, "warnings" to warnings))
    }

    companion object {
        /** Warnings about settings in [file] that are valid but probably unintended. */
        fun warnings(file: TeamFile, nowMillis: Long): List<String> =
            SettingsParser.parse(file.team, 1, file.text, file.fileName)
                .getOrNull()
                ?.rollouts
                .orEmpty()
                .filter { it.deadlineMillis <= nowMillis }
                .map {
                    "${file.fileName}: [rollout.${it.name}] deadline has passed; an unfinished " +
                        "rollout will be undone"
                }
    }
}
