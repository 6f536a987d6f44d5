package io.lavenderhinge.http

import java.util.concurrent.atomic.AtomicInteger

/** Counts the requests that are being handled. */
class InFlightCounter {
    private val requests = AtomicInteger()

    /** Number of requests in progress. */
    val count: Int
        get() = requests.get()

    /** Runs [handle] and counts the request until it returns or throws. */
    suspend fun counted(handle: suspend () -> Unit) {
        requests.incrementAndGet()
        try {
            handle()
        } finally {
            requests.decrementAndGet()
        }
    }
}
