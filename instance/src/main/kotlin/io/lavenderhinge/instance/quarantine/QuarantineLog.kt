package io.lavenderhinge.instance.quarantine

import io.lavenderhinge.core.quarantine.QuarantineChange
import io.lavenderhinge.core.quarantine.SuspectKey
import java.util.concurrent.CopyOnWriteArrayList
import org.slf4j.LoggerFactory

/** Logs the changes of a quarantine and keeps the quarantined parts for the status page. */
internal class QuarantineLog {
    private val quarantined = CopyOnWriteArrayList<String>()

    /** Hashes of the parts that this instance has quarantined. */
    val parts: List<String>
        get() = quarantined

    fun onChange(change: QuarantineChange) {
        val key = text(change.key)
        when (change) {
            is QuarantineChange.Quarantined -> {
                quarantined += key
                val servers = change.runs.joinToString(",") { it.serverId }
                log.warn("quarantine: {} crashed the servers {}", key, servers)
            }
            is QuarantineChange.Released -> {
                quarantined -= key
                log.info("quarantine: {} is released", key)
            }
        }
    }

    private fun text(key: SuspectKey): String {
        val kind = if (key.isRequest) "request" else "prompt key"
        return "$kind ${key.hash.toULong().toString(HEXADECIMAL)}"
    }

    private companion object {
        const val HEXADECIMAL = 16
        val log = LoggerFactory.getLogger(QuarantineLog::class.java)
    }
}
