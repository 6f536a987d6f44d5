package io.lavenderhinge.core.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private val validBootstrap =
    """
    [instance]
    id = i-1
    failure-domain = a
    region = west
    [listen]
    caller = 10.0.0.1:8080
    peer = 10.0.0.1:8081
    operator = [::1]:8082
    [platform]
    key-value = http://10.0.0.9:2379
    live-list = http://10.0.0.9:2380/
    [seeds]
    peers = 10.0.0.2:8081, 10.0.0.3:8081
    [limits]
    body = 8MB
    """
        .trimIndent()

class BootstrapParserTest :
    FunSpec({
        test(
            "given an instance's file, when parsed, then values and defaults are in their fields"
        ) {
            val bootstrap = BootstrapParser.parse(validBootstrap, "instance.ini").getOrNull()!!
            bootstrap.identity shouldBe InstanceIdentity("i-1", "a", "west")
            bootstrap.listen.operator shouldBe Address("::1", 8082)
            bootstrap.platform.liveList.toString() shouldBe "10.0.0.9:2380"
            bootstrap.seedPeers.map { it.toString() } shouldBe
                listOf("10.0.0.2:8081", "10.0.0.3:8081")
            bootstrap.limits.bodyBytes shouldBe 8_388_608
            bootstrap.limits.pipelinedRequests shouldBe 16
        }

        listOf(
                Triple(
                    "id = i-1",
                    "",
                    "[instance] id: is missing; add id (name): ${NameType.range}",
                ),
                Triple(
                    "10.0.0.1:8080",
                    "localhost:80",
                    "[listen] caller = localhost:80: has no IP address; write it as 10.0.0.1:8080",
                ),
                Triple(
                    "10.0.0.1:8080",
                    "10.0.0.1",
                    "[listen] caller = 10.0.0.1: has no valid port; write it as 10.0.0.1:8080",
                ),
                Triple(
                    "http://10.0.0.9:2379",
                    "10.0.0.9:2379",
                    "[platform] key-value = 10.0.0.9:2379: is not an http URL; " +
                        "write http://ip:port",
                ),
                Triple(
                    "body = 8MB",
                    "body = 8",
                    "[limits] body = 8: has no unit; write 8B or 8KB, whichever is meant",
                ),
                Triple(
                    "body = 8MB",
                    "connections = 0",
                    "[limits] connections = 0: is too small; write a value in 1 to 65536",
                ),
                Triple(
                    "10.0.0.3:8081",
                    "10.0.0.300:1",
                    "[seeds] peers = 10.0.0.2:8081, 10.0.0.300:1: has no IP address; write it " +
                        "as 10.0.0.1:8080",
                ),
            )
            .forEach { (line, faulty, message) ->
                test("given `$faulty` for `$line`, when parsed, then it is the one fault") {
                    BootstrapParser.parse(validBootstrap.replace(line, faulty), "i.ini")
                        .fold({ it.map { f -> f.message } }, { emptyList() }) shouldBe
                        listOf("i.ini: $message")
                }
            }
    })
