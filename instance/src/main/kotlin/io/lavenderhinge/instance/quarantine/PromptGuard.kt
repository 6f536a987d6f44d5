package io.lavenderhinge.instance.quarantine

/** Keeps prompt parts that crash model engines away from them. Thread-safe. */
internal interface PromptGuard {
    /** Increases with each part that is quarantined. */
    val revision: Int

    /**
     * Returns the id of a part that must not be sent to an engine of [model], or null. Call it
     * again for a request that was queued only if [revision] has increased, since a request that is
     * admitted as a trial would be blocked then.
     */
    suspend fun blockedPart(model: String, partIds: List<String>): String?

    /** Records that the engine [serverId] ended before it had answered a prompt. */
    fun recordCrash(serverId: String, model: String, partIds: List<String>)

    /** Records that an engine has answered a prompt completely. */
    fun recordAnswer(model: String, partIds: List<String>)
}
