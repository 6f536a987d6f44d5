package io.lavenderhinge.core.routing

import io.lavenderhinge.core.scheduling.HomeDirectory

/** Tells in which order the homes of backend servers would be asked for a request. */
class ServerRanking
internal constructor(private val selection: ServerSelection, private val directory: HomeDirectory) {
    /** Live backend servers for [request], the one that is asked first at the top. */
    fun rank(request: SlotRequest, nowMillis: Long): List<ServerRank> =
        selection.ranking(request, nowMillis, directory::homeOf)
}
