package io.lavenderhinge.instance.caller

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.core.membership.RendezvousHash
import io.lavenderhinge.core.scheduling.PREFIX_BLOCK_TOKENS
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Estimated token counts and hashes of a chat completion, as input for the scheduler. */
internal data class PromptEstimate(
    val promptTokens: Int,
    val outputTokens: Int,
    val prefixHashes: ImmutableList<Long>,
    /** A hash of each message in order; the last ones of a long conversation. */
    val partIds: ImmutableList<String>,
)

/** Estimates from the message text; returns null if [body] is not a valid chat completion. */
internal fun estimatePrompt(body: JsonNode): PromptEstimate? {
    val messages = body.path("messages")
    if (!messages.isArray || messages.isEmpty) return null
    val texts = messages.map { it.path("content").textValue() ?: return null }
    val maxTokens = body.path("max_tokens")
    if (!maxTokens.isMissingNode && (!maxTokens.isInt || maxTokens.intValue() < 1)) return null
    val text = texts.joinToString("\n")
    return PromptEstimate(
        promptTokens = text.length / CHARACTERS_PER_TOKEN + 1,
        outputTokens = maxTokens.asInt(DEFAULT_OUTPUT_TOKENS),
        prefixHashes = prefixHashes(text),
        partIds = texts.takeLast(MAX_PARTS).map(::partId).toImmutableList(),
    )
}

private fun partId(text: String): String = RendezvousHash.hash64(text).toString(HEXADECIMAL)

/** Returns a hash for each complete leading block; each covers all preceding blocks too. */
private fun prefixHashes(text: String): ImmutableList<Long> {
    val blockCharacters = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    val blocks = (text.length / blockCharacters).coerceAtMost(MAX_PREFIX_BLOCKS)
    var hash = FNV_OFFSET
    return (0 until blocks)
        .map { block ->
            for (index in block * blockCharacters until (block + 1) * blockCharacters) {
                hash = (hash xor text[index].code.toLong()) * FNV_PRIME
            }
            hash
        }
        .toImmutableList()
}

private const val CHARACTERS_PER_TOKEN = 4
private const val DEFAULT_OUTPUT_TOKENS = 256
private const val MAX_PREFIX_BLOCKS = 64
private const val MAX_PARTS = 64
private const val HEXADECIMAL = 16
private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
