package io.lavenderhinge.experiments.engine

import io.lavenderhinge.experiments.time.MICROS_PER_SECOND

/**
 * Performance model of a model replica on one hardware generation.
 *
 * An iteration takes `base + perSequence * batch + perThousandContext * context / 1000` plus the
 * prefill of its chunk. Beyond the knee, the first part grows faster than linearly. The knee is
 * reached when the batch has [kneeSequences] sequences or [kneeContextTokens] context tokens.
 */
data class HardwareProfile(
    val generation: Int,
    val prefillTokensPerSecond: Int,
    val chunkTokens: Int,
    val baseMicros: Int,
    val perSequenceMicros: Int,
    val perThousandContextTokensMicros: Int,
    val kneeSequences: Int,
    val kneeContextTokens: Int,
    val maxSequences: Int,
    val cacheTokens: Int,
) {
    /** Duration of an iteration that decodes [sequences] and prefills [prefillTokens] tokens. */
    fun iterationMicros(sequences: Int, contextTokens: Long, prefillTokens: Int): Long {
        val decode =
            baseMicros +
                perSequenceMicros.toDouble() * sequences +
                perThousandContextTokensMicros * contextTokens / 1000.0
        val pressure =
            maxOf(
                sequences.toDouble() / kneeSequences,
                contextTokens.toDouble() / kneeContextTokens,
            )
        val stretch = 1 + KNEE_STRETCH * maxOf(0.0, pressure - 1)
        val prefill = prefillTokens.toDouble() * MICROS_PER_SECOND / prefillTokensPerSecond
        return (decode * stretch + prefill).toLong()
    }

    companion object {
        // At twice the knee, an iteration takes 1.6 times the linear estimate, which lowers the
        // tokens per second of the whole batch by about a sixth.
        private const val KNEE_STRETCH = 0.6

        // A generation 2 replica generates 1,800 tokens per second at its knee. The design scale
        // assumes a peak of 3,300 per replica of 8 accelerators on the newest generation.
        private val GENERATIONS =
            listOf(
                HardwareProfile(1, 20_000, 256, 14_000, 220, 70, 48, 96_000, 160, 60_000),
                HardwareProfile(2, 32_000, 384, 11_000, 160, 50, 72, 144_000, 240, 100_000),
                HardwareProfile(3, 50_000, 512, 8_000, 110, 35, 112, 224_000, 360, 160_000),
            )

        /** The profile of hardware generation 1 (oldest) to 3. */
        fun of(generation: Int): HardwareProfile = GENERATIONS[generation - 1]
    }
}
