package io.lavenderhinge.ctl

import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.settings.Address
import java.io.InputStream

/** Response of an operator port; [body] is JSON. */
data class OperatorResponse(val status: Int, val body: String)

/** External dependencies of the commands; tests replace them with fakes. */
interface Environment {
    /** The key-value service at [address]. */
    fun store(address: Address): KeyValueStore

    /** Sends a GET request to the operator port at [address]; null if the call fails. */
    suspend fun getFromOperatorPort(
        address: Address,
        path: String,
        query: String = "",
    ): OperatorResponse?

    /** Wall-clock time in epoch milliseconds. */
    fun nowMillis(): Long

    /** Standard input of the process. */
    fun standardInput(): InputStream

    /** Author of a revision if the command line names none. */
    fun userName(): String
}
