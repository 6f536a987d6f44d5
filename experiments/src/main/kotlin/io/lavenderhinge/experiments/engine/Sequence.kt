package io.lavenderhinge.experiments.engine

/** Decoding state of one request in an engine. */
internal class Sequence(val job: BackendJob) {
    val id: String = job.request.id
    var computedPromptTokens = 0
    var cachedPrefixTokens = 0
    var isAdmitted = false
    var scheduledPrefillTokens = 0
    var generatedTokens = 0
    var firstTokenMicros = 0L
    var skippedIterations = 0

    val remainingPromptTokens: Int
        get() = job.request.promptTokens - computedPromptTokens

    val isDecoding: Boolean
        get() = generatedTokens > 0

    val contextTokens: Int
        get() = computedPromptTokens + generatedTokens

    /** Mean time between tokens until [nowMicros]; 0 for a single token. */
    fun betweenTokensMillis(nowMicros: Long): Double =
        if (generatedTokens < 2) 0.0
        else (nowMicros - firstTokenMicros) / 1000.0 / (generatedTokens - 1)
}
