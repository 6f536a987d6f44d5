package io.lavenderhinge.ctl

import arrow.core.Either
import arrow.core.getOrElse
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.default
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import io.lavenderhinge.core.forwarding.ConfigurationCheck
import io.lavenderhinge.core.forwarding.ConfigurationDiff
import io.lavenderhinge.core.forwarding.ConfigurationDifference
import io.lavenderhinge.core.forwarding.ConfigurationFinding
import io.lavenderhinge.core.forwarding.FindingKind
import io.lavenderhinge.core.forwarding.ForwardingConfig
import io.lavenderhinge.platform.ConfigurationDecoder
import io.lavenderhinge.platform.ConfigurationFault
import io.lavenderhinge.platform.ConfigurationText

/**
 * `check [FILE]`: checks the operator's configuration of the platform before it is written to the
 * store, with the decoder and the checks of the instances.
 */
class CheckCommand(private val environment: Environment) :
    CtlCommand(
        "check",
        "Checks the operator's configuration of the platform, a JSON text, and reports what is " +
            "invalid, can never match or contradicts itself. Calls nothing. Exit codes: 0 no " +
            "findings, 1 findings, 2 not readable.",
    ) {
    private val file by
        argument("FILE", help = "the configuration; - or nothing for standard input")
            .default(ConfigurationFile.STANDARD_INPUT)
    private val against by
        option("--against", metavar = "FILE", help = "the version in force, to show differences")
    private val serverCounts by
        option("--servers", metavar = "SERVICE=N", help = "number of servers of a service")
            .convert { serverCount(it) ?: fail("$it is not SERVICE=N") }
            .multiple()
    private val json by option("--json", help = "the same as --output json").flag()

    override fun format(): Output = if (json) Output.JSON else super.format()

    override suspend fun execute(): Report {
        val checked =
            read(file).getOrElse {
                return unreadable(it)
            }
        val inForce =
            against?.let { path ->
                read(path).getOrElse {
                    return unreadable(it)
                }
            }
        val config = checked.config
        val findings = checked.findings + config?.let { findings(it, inForce?.config) }.orEmpty()
        val differences =
            if (config == null) emptyList()
            else inForce?.config?.let { ConfigurationDiff.between(it, config) }.orEmpty()
        return report(findings, inForce?.findings.orEmpty(), differences)
    }

    /** A configuration as far as it can be decoded. */
    private class Checked(val config: ForwardingConfig?, val findings: List<ConfigurationFinding>)

    private fun read(path: String): Either<String, Checked> =
        ConfigurationFile(environment, path).read().map { text ->
            val decoded = ConfigurationDecoder.decodeOrFault(text)
            val fault = decoded.leftOrNull() ?: ConfigurationText.fault(text)
            if (fault is ConfigurationFault.NotJson)
                return Either.Left("${ConfigurationFile.nameOf(path)}: ${fault.message}")
            Checked(decoded.getOrNull(), listOfNotNull(fault).map(::finding))
        }

    private fun finding(fault: ConfigurationFault): ConfigurationFinding {
        val kind =
            when (fault) {
                is ConfigurationFault.NotJson,
                is ConfigurationFault.Value,
                is ConfigurationFault.Field -> FindingKind.INVALID_VALUE
                is ConfigurationFault.Ambiguous -> FindingKind.DUPLICATE
            }
        return ConfigurationFinding(kind, fault.location, fault.reason, fault.remedy)
    }

    private fun findings(
        config: ForwardingConfig,
        inForce: ForwardingConfig?,
    ): List<ConfigurationFinding> {
        val isOld = inForce != null && config.version <= inForce.version && config != inForce
        val old =
            ConfigurationFinding(
                FindingKind.CONTRADICTION,
                "version",
                "version ${config.version} does not replace version ${inForce?.version} in force",
                "use a higher version",
            )
        val common = ConfigurationCheck.findings(config, serverCounts.toMap())
        return listOf(old).filter { isOld } + common
    }

    private fun report(
        findings: List<ConfigurationFinding>,
        findingsInForce: List<ConfigurationFinding>,
        differences: List<ConfigurationDifference>,
    ): Report {
        val name = ConfigurationFile.nameOf(file)
        val inForce = against?.let { ConfigurationFile.nameOf(it) }
        val lines =
            findings.map { Line("$name: ${it.message}", Severity.ERROR) } +
                findingsInForce.map { Line("$inForce: ${it.message}", Severity.WARNING) } +
                differences.map { Line("differs: ${it.message}") } +
                summary(findings, differences)
        val json =
            mapOf(
                "findings" to findings,
                "findingsInForce" to findingsInForce,
                "differences" to differences,
            )
        return Report(lines, json, if (findings.isEmpty()) ExitCode.DONE else ExitCode.FINDINGS)
    }

    private fun summary(
        findings: List<ConfigurationFinding>,
        differences: List<ConfigurationDifference>,
    ): Line {
        val compared = if (against == null) "" else ", ${differences.size} differences"
        val severity = if (findings.isEmpty()) Severity.SUCCESS else Severity.INFO
        return Line("${findings.size} findings$compared", severity)
    }

    private fun unreadable(message: String) = Report.failure(message, ExitCode.UNREADABLE)

    private fun serverCount(text: String): Pair<String, Int>? {
        val count = text.substringAfterLast('=', "").toIntOrNull()?.takeIf { it >= 0 }
        return count?.let { text.substringBeforeLast('=') to it }
    }
}
