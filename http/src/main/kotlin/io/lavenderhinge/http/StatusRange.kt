package io.lavenderhinge.http

import io.netty.handler.codec.http.HttpResponse as NettyResponse

/** Status codes that HTTP defines a class for. */
private val validStatuses = 100..599

/**
 * Returns true if the status belongs to a class of HTTP. Servers in trouble have sent others, such
 * as 000. Nothing in such a response can be relied on, including a refusal.
 */
internal fun NettyResponse.hasValidStatus(): Boolean = status().code() in validStatuses
