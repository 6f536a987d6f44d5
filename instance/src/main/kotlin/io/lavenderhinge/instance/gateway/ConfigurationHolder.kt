package io.lavenderhinge.instance.gateway

import io.lavenderhinge.core.forwarding.ConfigurationView
import io.lavenderhinge.core.forwarding.ForwardingTable
import io.lavenderhinge.platform.ConfigurationDecoder
import java.util.concurrent.TimeUnit
import org.slf4j.LoggerFactory

/** The configuration in force. Written by the control thread, read by any. */
internal class ConfigurationHolder(private val gate: StartGate) {
    private class InForce(val table: ForwardingTable, val text: String)

    @Volatile private var inForce: InForce? = null
    @Volatile private var confirmedNanos: Long? = null

    /** The table of the configuration in force, or null. */
    val table: ForwardingTable?
        get() = inForce?.table

    /** Version in force; 0 when there is none. */
    val version: Long
        get() = inForce?.table?.config?.version ?: 0

    /** Text of the configuration in force, for peers that lack it. */
    val text: String
        get() = inForce?.text.orEmpty()

    /** Puts the configuration in [text] in force if it is newer; true when it is. */
    fun offer(text: String, source: String): Boolean {
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
        inForce = InForce(ForwardingTable(config), text)
        gate.configurationKnown()
        log.info("configuration: version {} from {} is in force", config.version, source)
        return true
    }

    /** The store answered that nothing newer exists. */
    fun confirm() {
        confirmedNanos = System.nanoTime()
    }

    /** What to decide requests by. */
    fun view(): ConfigurationView {
        val confirmed = confirmedNanos
        val isConfirmed = confirmed != null && System.nanoTime() - confirmed < CONFIRMED_NANOS
        return ConfigurationView(table, isConfirmed)
    }

    private companion object {
        /** Longer than a watch waits, so that a connected instance is always confirmed. */
        val CONFIRMED_NANOS: Long = TimeUnit.MILLISECONDS.toNanos(3_000)
        val log = LoggerFactory.getLogger(ConfigurationHolder::class.java)
    }
}
