package io.lavenderhinge.standins

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import io.lavenderhinge.http.HttpExchange
import io.lavenderhinge.http.HttpResponse

internal val jsonMapper: ObjectMapper =
    jacksonObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)

internal suspend fun HttpExchange.respondJson(value: Any?, status: Int = 200) =
    respond(
        HttpResponse(status, jsonMapper.writeValueAsBytes(value), contentType = "application/json")
    )

internal fun HttpExchange.jsonBody(): JsonNode =
    runCatching { jsonMapper.readTree(request.body) }.getOrNull() ?: jsonMapper.createObjectNode()

/** Returns the decoded query parameter [name], or null if it is missing. */
internal fun HttpExchange.queryParameter(name: String): String? =
    request.query
        .split('&')
        .firstOrNull { it.substringBefore('=') == name }
        ?.substringAfter('=', "")
        ?.let { java.net.URLDecoder.decode(it, Charsets.UTF_8) }
