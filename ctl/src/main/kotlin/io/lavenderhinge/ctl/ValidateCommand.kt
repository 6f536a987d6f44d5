package io.lavenderhinge.ctl

import io.lavenderhinge.core.settings.SettingsParser

/** `validate DIR`: checks files without reading or writing anything else. */
class ValidateCommand(private val environment: Environment) :
    CtlCommand("validate", "Checks the files in DIR and reports all faults at once.") {
    private val directory by directoryArgument()

    override suspend fun report(): Report {
        val files = SettingsDirectory(directory).files()
        if (files.isEmpty()) return Report.fault("DIR holds no .ini file", ExitCode.USAGE)
        val faults = SettingsDirectory.faults(files)
        if (faults.isNotEmpty()) return Phrases.invalid(faults)
        val warnings = files.flatMap { warnings(it, environment.nowMillis()) }
        val lines =
            warnings.map { Line(it, Mood.CAUTION) } +
                Line("${files.size} files are valid", Mood.GOOD)
        return Report(lines, mapOf("valid" to true, "warnings" to warnings))
    }

    companion object {
        /** What is permitted in [file] but probably not meant. */
        fun warnings(file: TeamFile, nowMillis: Long): List<String> =
            SettingsParser.parse(file.team, 1, file.text, file.file)
                .getOrNull()
                ?.rollouts
                .orEmpty()
                .filter { it.deadlineMillis <= nowMillis }
                .map {
                    "${file.file}: [rollout.${it.name}] deadline has passed; a rollout that is " +
                        "not done will be undone"
                }
    }
}
