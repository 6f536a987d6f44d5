package io.lavenderhinge.instance.gateway

/** Tells an attempt when it may pass its response on, so that only one attempt does at a time. */
internal interface AttemptTurn {
    /** Called when the request has been sent. */
    fun onSent()

    /** Called when the server has begun to answer. */
    fun onAccepted()

    /** Returns once no other attempt passes on its response. */
    suspend fun await()
}

/** The turn of an attempt beside which there is no other. */
internal object ImmediateTurn : AttemptTurn {
    override fun onSent() = Unit

    override fun onAccepted() = Unit

    override suspend fun await() = Unit
}
