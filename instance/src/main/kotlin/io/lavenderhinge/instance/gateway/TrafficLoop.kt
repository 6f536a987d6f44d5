package io.lavenderhinge.instance.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit
import org.slf4j.LoggerFactory

/**
 * The event loop of the traffic thread. An instance has a fraction of one core, so one thread
 * serves all connections and the dispatcher state needs no locks.
 */
internal class TrafficLoop : AutoCloseable {
    /** Event loop group with the traffic thread as its only thread. */
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()

    /** What the traffic thread spends its time on. */
    val load = TrafficLoad()

    /** Monotonic time in milliseconds. */
    fun nowMillis(): Long = monotonicMillis()

    /** Runs [action] asynchronously on the traffic thread. */
    fun execute(action: () -> Unit) = loop.execute { guarded(action) }

    /** Runs [action] once after [delayMillis] on the traffic thread. */
    fun after(delayMillis: Long, action: () -> Unit) {
        loop.schedule({ guarded(action) }, delayMillis, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] on the traffic thread with a delay of [periodMillis] between runs. */
    fun every(periodMillis: Long, action: () -> Unit) {
        loop.scheduleWithFixedDelay(
            { guarded(action) },
            periodMillis,
            periodMillis,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun guarded(action: () -> Unit) =
        try {
            action()
        } catch (e: Exception) {
            log.error("traffic: scheduled task failed", e)
        }

    private companion object {
        val log = LoggerFactory.getLogger(TrafficLoop::class.java)
    }
}
