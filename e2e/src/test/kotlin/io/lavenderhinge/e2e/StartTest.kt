package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.e2e.fleet.TestProcess
import io.lavenderhinge.e2e.fleet.freePort
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files

/** Starts instances that cannot run. Guards against processes that keep running without serving. */
class StartTest :
    FunSpec({
        fun startInstance(config: String): TestProcess {
            val directory = Files.createTempDirectory("lavenderhinge-start")
            val configFile = Files.writeString(directory.resolve("one.ini"), config)
            val mainClass = "io.lavenderhinge.instance.MainKt"
            val arguments = listOf("--config", configFile.toString())
            return TestProcess("one", mainClass, arguments, directory.resolve("one.log"))
        }

        fun renderConfig(callerPort: Int) =
            """
            [instance]
            id = one
            failure-domain = a
            region = local

            [listen]
            caller = 127.0.0.1:$callerPort
            peer = 127.0.0.1:${freePort()}
            operator = 127.0.0.1:${freePort()}

            [platform]
            key-value = http://127.0.0.1:1
            live-list = http://127.0.0.1:1
            """
                .trimIndent()

        test("given an occupied caller port, when started, then the process exits and logs why") {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { occupied ->
                val process = startInstance(renderConfig(occupied.localPort))
                process.awaitExit(30) shouldBe 3
                process.log shouldContain "cannot listen"
            }
        }

        data class InvalidSetting(
            val name: String,
            val from: String,
            val to: String,
            val message: String,
        )

        context("given an invalid setting, when started, then the process exits and names it") {
            withData(
                nameFn = { it.name },
                InvalidSetting("unknown key", "region = local", "regoin = local", "regoin"),
                InvalidSetting(
                    "no port",
                    "key-value = http://127.0.0.1:1",
                    "key-value = x",
                    "key-value",
                ),
            ) { setting ->
                val process =
                    startInstance(renderConfig(freePort()).replace(setting.from, setting.to))
                process.awaitExit(30) shouldBe 2
                process.log shouldContain setting.message
            }
        }
    })
