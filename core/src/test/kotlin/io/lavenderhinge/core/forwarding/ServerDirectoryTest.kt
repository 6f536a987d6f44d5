package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ServerDirectoryTest :
    FunSpec({
        fun ServerDirectory.ids() = servers.map { it.id }

        test("given a store without outage, when an entry is removed, then it is dropped at once") {
            val directory = ServerDirectory()
            directory.onSnapshot(listOf(server("a"), server("b")), nowMillis = 0)

            directory.onRemoved("a", nowMillis = 10)

            directory.ids() shouldBe listOf("b")
        }

        // Guards against losing a pool whose entries expired during an outage of the store.
        test("given a recovered store, when entries are missing, then they are kept temporarily") {
            val directory = ServerDirectory()
            directory.onSnapshot(listOf(server("a"), server("b")), nowMillis = 0)
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 5_000)

            directory.onSnapshot(listOf(server("b")), nowMillis = 5_000)

            directory.ids() shouldBe listOf("a", "b")
            directory.expire(nowMillis = 6_900) shouldBe false
            directory.expire(nowMillis = 7_300) shouldBe true
            directory.ids() shouldBe listOf("b")
        }

        test("given an expired entry, when it is written again, then it stays") {
            val directory = ServerDirectory()
            directory.onSnapshot(listOf(server("a")), nowMillis = 0)
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 5_000)
            directory.onSnapshot(emptyList(), nowMillis = 5_000)

            directory.onWritten(server("a"))

            directory.expire(nowMillis = 8_000) shouldBe false
            directory.ids() shouldBe listOf("a")
        }
    })
