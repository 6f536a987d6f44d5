package io.lavenderhinge.instance.quarantine

import io.lavenderhinge.core.quarantine.QuarantineChange
import io.lavenderhinge.core.quarantine.SuspectKey
import java.util.concurrent.CopyOnWriteArrayList
import org.slf4j.LoggerFactory

/** Logs the changes of a quarantine and keeps what is quarantined for the status page. */
internal class QuarantineLog {
    private val quarantined = CopyOnWriteArrayList<SuspectKey>()

    /** Hashes of the prompt parts that this instance has quarantined. */
    val parts: List<String>
        get() = quarantined.filterNot { it.isRequest }.map(::hash)

    /** Hashes of the requests that this instance has quarantined. */
    val requests: List<String>
        get() = quarantined.filter { it.isRequest }.map(::hash)

    fun onChange(change: QuarantineChange) {
        val content = describe(change.key)
        when (change) {
            is QuarantineChange.Quarantined -> {
                quarantined += change.key
                val servers = change.runs.joinToString(",") { it.serverId }
                log.warn("quarantine: {} crashed the servers {}", content, servers)
            }
            is QuarantineChange.Released -> {
                quarantined -= change.key
                log.info("quarantine: {} is released", content)
            }
        }
    }

    private fun describe(key: SuspectKey): String =
        if (key.isRequest) "request ${hash(key)}" else "prompt part ${hash(key)}"

    private fun hash(key: SuspectKey): String = key.hash.toULong().toString(HEXADECIMAL)

    private companion object {
        const val HEXADECIMAL = 16
        val log = LoggerFactory.getLogger(QuarantineLog::class.java)
    }
}
