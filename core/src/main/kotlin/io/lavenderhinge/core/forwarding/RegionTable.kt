package io.lavenderhinge.core.forwarding

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * The region of each failure domain. The load is requests that must not leave some regions, beside
 * others that may run anywhere: a domain that is missing from the table is in no region, so that an
 * incomplete table refuses requests and never moves them.
 */
class RegionTable(private val regionByDomain: ImmutableMap<String, String> = persistentMapOf()) {
    /** Returns true if a request that may run in [allowedRegions] only may run in [domain]. */
    fun allows(domain: String, allowedRegions: Set<String>?): Boolean =
        allowedRegions == null || regionByDomain[domain]?.let { it in allowedRegions } ?: false

    /** The table for the status page. */
    val entries: Map<String, String>
        get() = regionByDomain

    companion object {
        /**
         * Returns the regions in which a request of [route] and [workspace] may run; null if any.
         * Both lists bind, so that none may be left.
         */
        fun allowedRegions(
            route: ForwardRoute,
            workspace: ForwardWorkspace?,
        ): PersistentSet<String>? {
            val ofRoute = route.allowedRegions
            val ofWorkspace = workspace?.allowedRegions
            return when {
                ofRoute == null -> ofWorkspace?.toPersistentSet()
                ofWorkspace == null -> ofRoute.toPersistentSet()
                else -> ofRoute.filterTo(HashSet()) { it in ofWorkspace }.toPersistentSet()
            }
        }
    }
}
