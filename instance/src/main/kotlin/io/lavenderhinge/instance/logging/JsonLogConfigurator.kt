package io.lavenderhinge.instance.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import ch.qos.logback.core.status.NopStatusListener
import net.logstash.logback.encoder.LogstashEncoder
import net.logstash.logback.fieldnames.LogstashFieldNames
import org.slf4j.Logger

/**
 * Configures JSON lines on standard output if the system property [PROPERTY] is `json`. Otherwise
 * `logback.xml` applies.
 *
 * Logging never blocks: lines are dropped when the queue is full. The configuration is code because
 * parsing an XML file takes a quarter of the startup time.
 */
class JsonLogConfigurator : ContextAwareBase(), Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (System.getProperty(PROPERTY) != JSON) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        // Without a listener, Logback formats its status list with localized dates at startup.
        context.statusManager.add(NopStatusListener())
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(asyncAppender(context, consoleAppender(context)))
        context.getLogger("io.netty").level = Level.ERROR
        context.getLogger("io.grpc").level = Level.WARN
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun asyncAppender(context: LoggerContext, target: ConsoleAppender<ILoggingEvent>) =
        AsyncAppender().apply {
            this.context = context
            name = "STREAM"
            queueSize = QUEUE_CAPACITY
            isNeverBlock = true
            addAppender(target)
            start()
        }

    private fun consoleAppender(context: LoggerContext) =
        ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            name = "STDOUT"
            encoder = jsonEncoder(context)
            start()
        }

    private fun jsonEncoder(context: LoggerContext) =
        LogstashEncoder().apply {
            this.context = context
            // Strings and numbers need no Jackson modules, and searching for them delays the first
            // line.
            setFindAndRegisterJacksonModules(false)
            fieldNames = FIELD_NAMES
            start()
        }

    companion object {
        /** System property that selects the log format. */
        const val PROPERTY = "lavenderhinge.logs"
        private const val JSON = "json"
        private const val QUEUE_CAPACITY = 1_024
        private val FIELD_NAMES =
            LogstashFieldNames().apply {
                version = null
                levelValue = null
                thread = null
                logger = null
            }
    }
}
