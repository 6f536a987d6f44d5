package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ConfigurationCheck
import io.lavenderhinge.core.forwarding.ConfigurationView
import io.lavenderhinge.core.forwarding.ForwardingConfig
import io.lavenderhinge.core.forwarding.ForwardingTable
import io.lavenderhinge.platform.ConfigurationDecoder
import java.util.concurrent.TimeUnit
import org.slf4j.LoggerFactory

/** Holds the active configuration. Written by the control thread, read by any thread. */
internal class ConfigurationHolder(
    private val gate: ReadinessGate,
    /** Time for which the store's last answer shows that no newer configuration exists. */
    confirmationValidMillis: Long,
) {
    private val confirmationValidNanos = TimeUnit.MILLISECONDS.toNanos(confirmationValidMillis)

    private class ActiveConfiguration(val table: ForwardingTable, val text: String)

    @Volatile private var active: ActiveConfiguration? = null
    @Volatile private var lastConfirmedNanos: Long? = null

    /** Called on the thread of the writer after a newer configuration was activated. */
    @Volatile var onChange: (ForwardingTable) -> Unit = {}

    /** Forwarding table of the active configuration, or null if there is none. */
    val table: ForwardingTable?
        get() = active?.table

    /** Version of the active configuration; 0 if there is none. */
    val version: Long
        get() = active?.table?.config?.version ?: 0

    /** Text of the active configuration, for peers that do not have it. */
    val text: String
        get() = active?.text.orEmpty()

    /** Activates the configuration in [text] if it is newer, and returns whether it was. */
    fun applyIfNewer(text: String, source: String): Boolean {
        val config =
            ConfigurationDecoder.decode(text)
                .fold(
                    {
                        log.warn("configuration: ignoring invalid text from {}: {}", source, it)
                        return false
                    },
                    { it },
                )
        if (config.version <= version) return false
        val table = ForwardingTable(config)
        active = ActiveConfiguration(table, text)
        gate.onConfigurationAvailable()
        log.info("configuration: version {} from {} is in force", config.version, source)
        onChange(table)
        logFindings(config)
        return true
    }

    /** Records that the store has no newer configuration. */
    fun confirm() {
        lastConfirmedNanos = System.nanoTime()
    }

    /** Returns the configuration by which requests are admitted. */
    fun view(): ConfigurationView {
        val confirmed = lastConfirmedNanos
        val isConfirmed =
            confirmed != null && System.nanoTime() - confirmed < confirmationValidNanos
        return ConfigurationView(table, isConfirmed)
    }

    private fun logFindings(config: ForwardingConfig) {
        val findings = ConfigurationCheck.findings(config)
        findings.take(MAX_LOGGED_FINDINGS).forEach {
            log.warn("configuration: version {}: {}", config.version, it.message)
        }
        val omittedCount = findings.size - MAX_LOGGED_FINDINGS
        if (omittedCount > 0)
            log.warn("configuration: version {}: {} more findings", config.version, omittedCount)
    }

    private companion object {
        /** Every instance logs them for each version; `lavenderhingectl check` names all. */
        const val MAX_LOGGED_FINDINGS = 5
        val log = LoggerFactory.getLogger(ConfigurationHolder::class.java)
    }
}
