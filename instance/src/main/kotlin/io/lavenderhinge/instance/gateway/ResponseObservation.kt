package io.lavenderhinge.instance.gateway

import io.lavenderhinge.http.ResponseHead

/** What was unusual about the responses on the connection of one attempt, for logs and metrics. */
internal class ResponseObservation {
    private val skippedStatuses = mutableListOf<Int>()
    private var unidentified: ResponseHead? = null

    /** Number of responses that were skipped because they belong to another request. */
    val skippedCount: Int
        get() = skippedStatuses.size

    /** True if the accepted response does not have the request's id. */
    val isUnidentified: Boolean
        get() = unidentified != null

    /** Records the response that was taken for the one to the request. */
    fun onAccepted(head: ResponseHead, isIdentified: Boolean) {
        unidentified = head.takeUnless { isIdentified }
    }

    /** Records a response that belongs to another request. */
    fun onSkipped(head: ResponseHead) {
        skippedStatuses += head.status
    }

    /** Describes what was unusual, or returns null. */
    fun describe(): String? {
        val skipped =
            if (skippedStatuses.isEmpty()) null
            else "skipped answers of other requests with status ${skippedStatuses.joinToString()}"
        return listOfNotNull(skipped, unidentified?.let(::describeUnidentified))
            .joinToString()
            .ifEmpty { null }
    }

    private fun describeUnidentified(head: ResponseHead): String {
        val connection = if (head.isFirstOnConnection) "new" else "reused"
        return "answer without a request id on a $connection connection"
    }
}
