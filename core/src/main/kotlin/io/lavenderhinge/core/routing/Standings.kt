package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.HomeDirectory

/** Tells in which order the homes of backend servers would be asked for a request. */
class Standings
internal constructor(private val selection: ServerSelection, private val directory: HomeDirectory) {
    /** Live backend servers for [request], the one that is asked first at the top. */
    fun of(request: SlotRequest, nowMillis: Long): List<ServerStanding> =
        selection.standings(request, nowMillis, directory::homeOf)
}
