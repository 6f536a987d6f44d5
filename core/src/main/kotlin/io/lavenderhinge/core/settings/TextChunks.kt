package io.lavenderhinge.core.settings

/** Splits texts into messages, so that a large tree does not overflow a send buffer. */
internal object TextChunks {
    const val CHUNK_CHARACTERS = 32_768
    const val CHUNKS_PER_ROUND = 16

    /** Returns at most [CHUNKS_PER_ROUND] chunks; the next gossip round sends the rest. */
    fun split(texts: List<TeamText>): List<List<TeamText>> {
        val chunks = mutableListOf<MutableList<TeamText>>()
        var size = CHUNK_CHARACTERS
        texts.forEach { text ->
            if (size + text.text.length > CHUNK_CHARACTERS) {
                chunks += mutableListOf<TeamText>()
                size = 0
            }
            chunks.last() += text
            size += text.text.length
        }
        return chunks.take(CHUNKS_PER_ROUND)
    }
}
