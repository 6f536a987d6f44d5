package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpHeaders

/** A request with its complete body. [path] excludes the query; [query] is empty if absent. */
class HttpRequest(
    val method: String,
    val path: String,
    val query: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    /** The path with its query, as sent on the wire. */
    val target: String = if (query.isEmpty()) path else "$path?$query",
) {
    /** Returns the first value of header [name], or null. */
    fun header(name: String): String? = headers.get(name)
}

/** A complete response. */
class HttpResponse(
    val status: Int,
    val body: ByteArray,
    val headers: List<HttpField> = emptyList(),
    val contentType: String? = null,
) {
    /** Returns the first value of header [name], or null. */
    fun header(name: String): String? = headers.valueOrNull(name)
}

/** One header field. */
data class HttpField(val name: String, val value: String)

/** Returns the first value of the field [name], or null. */
fun List<HttpField>.valueOrNull(name: String): String? =
    firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
