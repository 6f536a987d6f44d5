package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ConfigurationView
import io.lavenderhinge.core.forwarding.ForwardingTable
import io.lavenderhinge.platform.ConfigurationDecoder
import java.util.concurrent.TimeUnit
import org.slf4j.LoggerFactory

/** The configuration in force. Written by the control thread, read by any. */
internal class ConfigurationHolder(private val gate: ReadinessGate) {
    private class ActiveConfiguration(val table: ForwardingTable, val text: String)

    @Volatile private var active: ActiveConfiguration? = null
    @Volatile private var lastConfirmedNanos: Long? = null

    /** The table of the configuration in force, or null. */
    val table: ForwardingTable?
        get() = active?.table

    /** Version in force; 0 when there is none. */
    val version: Long
        get() = active?.table?.config?.version ?: 0

    /** Text of the configuration in force, for peers that lack it. */
    val text: String
        get() = active?.text.orEmpty()

    /** Puts the configuration in [text] in force if it is newer; true when it is. */
    fun applyIfNewer(text: String, source: String): Boolean {
        val config =
            ConfigurationDecoder.decode(text)
                .fold(
                    {
                        log.warn("configuration: text from {} was ignored: {}", source, it)
                        return false
                    },
                    { it },
                )
        if (config.version <= version) return false
        active = ActiveConfiguration(ForwardingTable(config), text)
        gate.onConfigurationAvailable()
        log.info("configuration: version {} from {} is in force", config.version, source)
        return true
    }

    /** The store answered that nothing newer exists. */
    fun confirm() {
        lastConfirmedNanos = System.nanoTime()
    }

    /** What to decide requests by. */
    fun view(): ConfigurationView {
        val confirmed = lastConfirmedNanos
        val isConfirmed =
            confirmed != null && System.nanoTime() - confirmed < CONFIRMATION_VALID_NANOS
        return ConfigurationView(table, isConfirmed)
    }

    private companion object {
        /** Longer than a watch waits, so that a connected instance is always confirmed. */
        val CONFIRMATION_VALID_NANOS: Long = TimeUnit.MILLISECONDS.toNanos(3_000)
        val log = LoggerFactory.getLogger(ConfigurationHolder::class.java)
    }
}
