package io.lavenderhinge.instance.gateway

import java.util.concurrent.TimeUnit

/** Monotonic time in milliseconds; does not advance while the machine is suspended. */
internal fun monotonicMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
