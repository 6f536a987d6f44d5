package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.HomeDirectory

/** Ranks the backend servers for a request in the order in which their homes would be tried. */
class ServerRanking
internal constructor(private val selection: ServerSelection, private val directory: HomeDirectory) {
    /** Returns the live backend servers for [request] in the order in which they would be tried. */
    fun rank(request: SlotRequest, nowMillis: Long): List<ServerRank> =
        selection.ranking(request, nowMillis, directory::homeOf)
}
