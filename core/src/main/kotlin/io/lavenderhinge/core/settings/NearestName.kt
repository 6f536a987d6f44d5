package io.lavenderhinge.core.settings

import org.apache.commons.text.similarity.LevenshteinDistance

/** Finds the known name that is closest to an unknown one. */
internal object NearestName {
    /** Returns the name in [known] with the smallest edit distance; the first on a tie. */
    fun of(name: String, known: List<String>): String {
        val distance = LevenshteinDistance.getDefaultInstance()
        return known.minBy { distance.apply(name, it) }
    }
}
