package io.lavenderhinge.core.settings

import org.apache.commons.text.similarity.LevenshteinDistance

/** Finds the known name that an unknown one was probably meant to be. */
internal object NearestName {
    /** The name among [known] with the smallest edit distance, the first of several. */
    fun of(name: String, known: List<String>): String {
        val distance = LevenshteinDistance.getDefaultInstance()
        return known.minBy { distance.apply(name, it) }
    }
}
