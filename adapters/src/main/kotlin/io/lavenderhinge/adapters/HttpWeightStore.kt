package io.lavenderhinge.adapters

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.lavenderhinge.core.port.WeightStore
import io.lavenderhinge.core.port.WeightStoreFault
import io.lavenderhinge.http.CallTimeouts
import io.lavenderhinge.http.HttpClient
import io.lavenderhinge.http.HttpStatus
import java.net.InetSocketAddress

/** Client of the weight store over HTTP. */
class HttpWeightStore(client: HttpClient, address: InetSocketAddress, timeoutMillis: Long = 2_000) :
    WeightStore {
    private val http = JsonClient(client, address, CallTimeouts(timeoutMillis, timeoutMillis))

    override suspend fun hasWeights(
        model: String,
        version: String,
    ): Either<WeightStoreFault, Boolean> {
        val path = "/v1/weights/${urlEncode(model)}/${urlEncode(version)}"
        val response =
            http.call("GET", path).getOrElse {
                return WeightStoreFault(it.message, null).left()
            }
        return when (response.status) {
            HttpStatus.OK -> true.right()
            HttpStatus.NOT_FOUND -> false.right()
            HttpStatus.TOO_MANY_REQUESTS ->
                WeightStoreFault("the weight store's rate limit is exceeded", RETRY_AFTER_MILLIS)
                    .left()
            else ->
                WeightStoreFault("the weight store responded with status ${response.status}", null)
                    .left()
        }
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
