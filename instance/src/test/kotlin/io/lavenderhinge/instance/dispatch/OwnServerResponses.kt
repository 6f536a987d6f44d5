package io.lavenderhinge.instance.dispatch

/** A response of a backend server or store to [request], on the own interface. */
internal fun ownResponse(
    request: String,
    body: String,
    status: String = "200 OK",
    repeatsId: Boolean = true,
): String {
    val id = requestIdOf(request)
    val idField = if (repeatsId && id != null) "X-Request-Id: $id\r\n" else ""
    return "HTTP/1.1 $status\r\n${idField}Content-Length: ${body.length}\r\n\r\n$body"
}

/** Returns the id of [request], or null if it has none. */
internal fun requestIdOf(request: String): String? =
    Regex("(?i)X-Request-Id: (\\S+)").find(request)?.groupValues?.get(1)
