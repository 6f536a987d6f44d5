package io.lavenderhinge.http

import io.netty.util.concurrent.Future
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlinx.coroutines.suspendCancellableCoroutine

/**
 * Suspends until this future is done and returns its value.
 *
 * It is not named `await` because the blocking member function of that name would take precedence.
 */
internal suspend fun <T> Future<T>.awaitDone(): T = suspendCancellableCoroutine { continuation ->
    addListener {
        if (isSuccess) continuation.resume(now) else continuation.resumeWithException(cause())
    }
}
