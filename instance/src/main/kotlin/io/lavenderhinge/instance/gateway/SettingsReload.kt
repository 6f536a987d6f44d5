package io.lavenderhinge.instance.gateway

import java.io.IOException
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Applies the settings that [read] returns. May be called on any thread; the settings that were
 * read last stay in force.
 */
internal class SettingsReload<T>(private val read: () -> T, private val apply: (T) -> Unit) {
    @Synchronized
    fun run() {
        try {
            apply(read())
        } catch (e: IOException) {
            log.warn("gateway: settings were not reloaded: {}", e.toString())
        }
    }

    private companion object {
        // Used rarely, and initializing it with the class would delay the listener at the start.
        val log: Logger by lazy { LoggerFactory.getLogger(SettingsReload::class.java) }
    }
}
