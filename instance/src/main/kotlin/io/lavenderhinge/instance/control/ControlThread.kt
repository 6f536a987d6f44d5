package io.lavenderhinge.instance.control

import java.time.InstantSource
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Single thread that owns the control state: queues, membership, settings, ledger and rollouts.
 *
 * The state machines of the core run only on this thread. Other threads submit work to it through
 * [execute] or [scope].
 */
class ControlThread(
    private val clock: InstantSource = InstantSource.system(),
    val random: Random = Random.Default,
) : AutoCloseable {
    private val executor =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "control").apply { isDaemon = true } }

    /** Scope whose coroutines run on the control thread. */
    val scope =
        CoroutineScope(
            SupervisorJob() +
                executor.asCoroutineDispatcher() +
                CoroutineExceptionHandler { _, e -> log.error("control: task failed", e) }
        )

    /** Wall-clock time in epoch milliseconds. */
    fun nowMillis(): Long = clock.millis()

    /** Queues [action] to run on the control thread. */
    fun execute(action: () -> Unit) = executor.execute { runLoggingErrors(action) }

    /** Schedules [action] to run once, after [delayMillis]. */
    fun after(delayMillis: Long, action: () -> Unit) {
        executor.schedule({ runLoggingErrors(action) }, delayMillis, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] every [periodMillis] plus up to 10 % jitter, to desynchronize instances. */
    fun every(periodMillis: Long, action: suspend () -> Unit) {
        scope.launch {
            while (true) {
                delay(periodMillis + random.nextLong(periodMillis / JITTER_DIVISOR + 1))
                try {
                    action()
                } catch (e: kotlinx.coroutines.CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("control: periodic task failed", e)
                }
            }
        }
    }

    override fun close() {
        scope.cancel()
        executor.shutdownNow()
    }

    private fun runLoggingErrors(action: () -> Unit) =
        try {
            action()
        } catch (e: Exception) {
            log.error("control: task failed", e)
        }

    private companion object {
        const val JITTER_DIVISOR = 10
        val log = LoggerFactory.getLogger(ControlThread::class.java)
    }
}
