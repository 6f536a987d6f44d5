package io.lavenderhinge.ctl

import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.settings.Address

/** Answer of an operator port; [body] is JSON. Null stands for no answer. */
data class OperatorResponse(val status: Int, val body: String)

/** What the commands need from outside. Tests replace it. */
interface Environment {
    /** The key-value service at [address]. */
    fun store(address: Address): KeyValueStore

    /** Reads [path] with [query] from the operator port at [address]; null when it is away. */
    suspend fun getFromOperatorPort(
        address: Address,
        path: String,
        query: String = "",
    ): OperatorResponse?

    /** Wall-clock time in epoch milliseconds. */
    fun nowMillis(): Long

    /** Name of the operator where the command line gives none. */
    fun userName(): String
}
