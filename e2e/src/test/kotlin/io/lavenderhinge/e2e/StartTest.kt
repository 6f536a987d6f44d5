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

/** An instance that cannot start; guards against a process that lives on half started. */
class StartTest :
    FunSpec({
        fun start(config: String): TestProcess {
            val folder = Files.createTempDirectory("lavenderhinge-start")
            val file = Files.writeString(folder.resolve("one.ini"), config)
            val main = "io.lavenderhinge.instance.MainKt"
            val arguments = listOf("--config", file.toString())
            return TestProcess("one", main, arguments, folder.resolve("one.log"))
        }

        fun config(callerPort: Int) =
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

        test("given the caller port is taken, when started, then the process ends and says so") {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
                val process = start(config(taken.localPort))
                process.awaitExit(30) shouldBe 3
                process.log shouldContain "cannot listen"
            }
        }

        data class Bad(val name: String, val from: String, val to: String, val message: String)

        context("given a bad setting, when started, then it is named and the process ends") {
            withData(
                nameFn = { it.name },
                Bad("unknown key", "region = local", "regoin = local", "regoin"),
                Bad("no port", "key-value = http://127.0.0.1:1", "key-value = x", "key-value"),
            ) { bad ->
                val process = start(config(freePort()).replace(bad.from, bad.to))
                process.awaitExit(30) shouldBe 2
                process.log shouldContain bad.message
            }
        }
    })
