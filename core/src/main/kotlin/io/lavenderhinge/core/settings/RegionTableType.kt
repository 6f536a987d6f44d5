package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** Comma-separated pairs of a failure domain and its region; may be empty. */
internal object RegionTableType : ValueType<ImmutableMap<String, String>>() {
    override val unit = "table"
    override val range = "zone=region separated by commas"

    override fun parse(text: String): Either<ValueProblem, ImmutableMap<String, String>> = either {
        val pairs = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
        val table = HashMap<String, String>()
        pairs.forEach { pair ->
            val zone = pair.substringBefore('=').trim()
            val region = pair.substringAfter('=', "").trim()
            ensure(zone.isNotEmpty() && region.isNotEmpty()) {
                ValueProblem("has the entry '$pair' without zone or region", "write $range")
            }
            ensure(table.put(zone, region) == null) {
                ValueProblem("names the zone '$zone' twice", "write each zone once")
            }
        }
        table.toImmutableMap()
    }
}
