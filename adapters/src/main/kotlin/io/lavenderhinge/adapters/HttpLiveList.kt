package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.module.kotlin.treeToValue
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.LiveList
import io.lavenderhinge.core.port.LiveListFault
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpStatus
import java.net.InetSocketAddress
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Client of the platform's live list over HTTP and JSON. */
class HttpLiveList(
    client: HttpClient,
    address: InetSocketAddress,
    private val readBudget: CallBudget,
    timeoutMillis: Long = 2_000,
) : LiveList {
    private val http = JsonClient(client, address, CallTimeouts(timeoutMillis, timeoutMillis))

    override suspend fun fetch(): Either<LiveListFault, ImmutableList<ListedMember>> {
        if (readBudget.acquireOrWaitMillis() > 0)
            return LiveListFault("the call budget is exhausted").left()
        val response =
            http.call("GET", "/v1/members").getOrElse {
                return LiveListFault(it.message).left()
            }
        val body = response.body
        if (response.status != HttpStatus.OK || body == null || !body.isArray) {
            return LiveListFault("the live list responded with status ${response.status}").left()
        }
        // Skips malformed members, so that one of them does not hide the others.
        return body
            .mapNotNull { runCatching { Json.mapper.treeToValue<ListedMember>(it) }.getOrNull() }
            .toImmutableList()
            .right()
    }
}
