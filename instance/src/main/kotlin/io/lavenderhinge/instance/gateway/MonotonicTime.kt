package io.lavenderhinge.instance.gateway

import java.util.concurrent.TimeUnit

/** Milliseconds of the steady clock, which counts no suspension of the machine. */
internal fun monotonicMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
