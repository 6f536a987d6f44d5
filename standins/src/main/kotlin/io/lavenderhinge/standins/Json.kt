package io.lavenderhinge.standins

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpResponse

internal val json: ObjectMapper =
    jacksonObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)

internal suspend fun HttpExchange.respondJson(value: Any?, status: Int = 200) =
    respond(HttpResponse(status, json.writeValueAsBytes(value), contentType = "application/json"))

internal fun HttpExchange.jsonBody(): JsonNode =
    runCatching { json.readTree(request.body) }.getOrNull() ?: json.createObjectNode()

/** Value of [name] in the query of the request, or null. */
internal fun HttpExchange.parameter(name: String): String? =
    request.query
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
        ?.let { java.net.URLDecoder.decode(it, Charsets.UTF_8) }
