package io.lavenderhinge.instance.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.ConsoleAppender
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.lavenderhinge.adapters.Json
import java.time.Instant
import org.slf4j.Logger
import org.slf4j.event.KeyValuePair

/** Guards against logging that blocks, and against lines that cannot be searched by field. */
class JsonLogConfiguratorTest :
    FunSpec({
        test("without the property, the configuration file applies") {
            val status = JsonLogConfigurator().configure(LoggerContext())

            status shouldBe ExecutionStatus.INVOKE_NEXT_IF_ANY
        }

        test("a full queue drops lines instead of blocking") {
            asyncAppender(configured()).isNeverBlock shouldBe true
        }

        test("key-value pairs become fields of the line") {
            val context = configured()
            val event = LoggingEvent()
            event.loggerName = "gateway"
            event.setLoggerContext(context)
            event.instant = Instant.EPOCH
            event.level = Level.INFO
            event.message = "request: ended"
            event.setKeyValuePairs(listOf(KeyValuePair("request", "9c41"), KeyValuePair("ms", 7)))

            val target = asyncAppender(context).iteratorForAppenders().next() as ConsoleAppender
            val line = Json.trees.readTree(target.encoder.encode(event))

            val fields = line.properties().associate { it.key to it.value.asText() }
            (fields - "@timestamp").shouldContainExactly(
                mapOf(
                    "message" to "request: ended",
                    "level" to "INFO",
                    "request" to "9c41",
                    "ms" to "7",
                )
            )
        }
    })

private fun configured(): LoggerContext {
    val context = LoggerContext()
    context.mdcAdapter = LogbackMDCAdapter()
    System.setProperty(JsonLogConfigurator.PROPERTY, "json")
    try {
        JsonLogConfigurator().configure(context)
    } finally {
        System.clearProperty(JsonLogConfigurator.PROPERTY)
    }
    return context
}

private fun asyncAppender(context: LoggerContext) =
    context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().next() as AsyncAppender
