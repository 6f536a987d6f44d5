package io.lavenderhinge.http

import java.util.concurrent.atomic.AtomicInteger

/** Counts requests between the start and the end of their handling. */
class InFlightCounter {
    private val requests = AtomicInteger()

    /** Requests that are not answered yet. */
    val count: Int
        get() = requests.get()

    /** Runs [handle] and counts its request until it returns or throws. */
    suspend fun counted(handle: suspend () -> Unit) {
        requests.incrementAndGet()
        try {
            handle()
        } finally {
            requests.decrementAndGet()
        }
    }
}
