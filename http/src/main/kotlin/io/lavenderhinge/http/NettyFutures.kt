package io.lavenderhinge.http

import io.netty.util.concurrent.Future
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlinx.coroutines.suspendCancellableCoroutine

/** Suspends until this future is done and returns its value. */
internal suspend fun <T> Future<T>.await(): T = suspendCancellableCoroutine { continuation ->
    addListener {
        if (isSuccess) continuation.resume(now) else continuation.resumeWithException(cause())
    }
}
