package io.lavenderhinge.experiments.hinge

import io.lavenderhinge.core.scheduling.GrantRequest
import io.lavenderhinge.core.scheduling.HomeEffect
import io.lavenderhinge.core.scheduling.HomeEvent
import io.lavenderhinge.core.scheduling.HomeSummary
import io.lavenderhinge.experiments.scheduler.PeerMessage

/** From an entry to a home. Sizes follow the fields of `peer.proto`. */
internal data class ToHome(val serverId: String, val event: HomeEvent) : PeerMessage {
    override val sizeBytes: Int
        get() =
            FRAME_BYTES +
                serverId.length +
                when (event) {
                    is HomeEvent.Requested ->
                        requestBytes(event.request) + 8 * event.request.prefixHashes.size
                    is HomeEvent.Registered -> requestBytes(event.request)
                    is HomeEvent.Released -> event.key.grantRequestId.length
                    is HomeEvent.Finished -> event.key.grantRequestId.length + RESULT_BYTES
                    else -> 0
                }

    private fun requestBytes(request: GrantRequest) =
        REQUEST_BYTES + request.grantRequestId.length + request.workspace.length
}

/** From a home to an entry. */
internal data class ToEntry(val serverId: String, val effect: HomeEffect) : PeerMessage {
    override val sizeBytes: Int
        get() = FRAME_BYTES + serverId.length + effect.grantRequestId.length + ANSWER_BYTES
}

/** Summaries of the homes of one instance, carried by the settings digest. */
internal data class Summaries(val summaries: List<HomeSummary>) : PeerMessage {
    override val sizeBytes: Int
        get() = FRAME_BYTES + summaries.sumOf { SUMMARY_BYTES + it.serverId.length }
}

// gRPC frame header (5), HTTP/2 data header (9), protocol version and tags.
private const val FRAME_BYTES = 24
private const val REQUEST_BYTES = 40
private const val RESULT_BYTES = 16
private const val ANSWER_BYTES = 10
private const val SUMMARY_BYTES = 16
