package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ServerDirectoryTest :
    FunSpec({
        fun ServerDirectory.ids() = servers.map { it.id }

        /** A directory whose servers wrote their entries every 1.2 s, at last at 12 s. */
        fun directoryWithHeartbeats(): ServerDirectory {
            val directory = ServerDirectory()
            directory.onSnapshot(listOf(server("a"), server("b")), nowMillis = 0)
            for (atMillis in 0L..12_000L step 1_200) {
                directory.onStoreAvailable(atMillis)
                directory.onWritten(server("a"), atMillis)
                directory.onWritten(server("b"), atMillis)
            }
            return directory
        }

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

            directory.onWritten(server("a"), nowMillis = 5_500)

            directory.expire(nowMillis = 8_000) shouldBe false
            directory.ids() shouldBe listOf("a")
        }

        // Guards against using a server that has left because a watch was cut shortly before.
        test("given a call that failed while the store was up, then a removed entry is dropped") {
            val directory = directoryWithHeartbeats()
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 13_500)

            directory.onSnapshot(listOf(server("b")), nowMillis = 13_500)

            directory.ids() shouldBe listOf("b")
        }

        // Guards against losing a pool whose entries lapse in an outage of the store.
        listOf(2_400L, 5_000L, 20_000L).forEach { outageMillis ->
            test("given an outage of $outageMillis ms, then entries that lapsed are kept") {
                val directory = directoryWithHeartbeats()
                val returnMillis = 12_000 + outageMillis
                directory.onStoreUnavailable()
                directory.onStoreAvailable(returnMillis)

                directory.onSnapshot(listOf(server("b")), returnMillis)
                directory.onRemoved("b", returnMillis + 100)

                directory.ids() shouldBe listOf("a", "b")
                directory.expire(returnMillis + 2_000) shouldBe false
                directory.expire(returnMillis + 2_200) shouldBe true
                directory.ids() shouldBe emptyList()
            }
        }

        // Guards against using a server that leaves after it has come back from an outage.
        test("given an entry that was written after an outage, then its removal counts at once") {
            val directory = directoryWithHeartbeats()
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 18_000)
            directory.onSnapshot(listOf(server("a"), server("b")), nowMillis = 18_000)
            directory.onWritten(server("a"), nowMillis = 18_200)

            directory.onRemoved("a", nowMillis = 18_400)

            directory.ids() shouldBe listOf("b")
        }

        // Guards against judging an outage by heartbeats that were missed in an earlier one.
        test("given two outages in a row, then entries that lapsed in the second one are kept") {
            val directory = directoryWithHeartbeats()
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 40_000)
            directory.onWritten(server("a"), nowMillis = 40_100)
            directory.onWritten(server("b"), nowMillis = 40_100)
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 43_000)

            directory.onSnapshot(emptyList(), nowMillis = 43_000)

            directory.ids() shouldBe listOf("a", "b")
        }

        // Guards against a second judgement on a list that a watcher has judged already.
        test("given a copy of a peer after an outage, then it replaces the list as it is") {
            val directory = directoryWithHeartbeats()
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 18_000)

            directory.onPeerCopy(listOf(server("b")), nowMillis = 18_100)

            directory.ids() shouldBe listOf("b")
        }

        // Guards against using a server whose leaving the store has forgotten.
        test("given a restored store, then a run that was leaving gets no work") {
            val directory = directoryWithHeartbeats()
            directory.onWritten(server("a", acceptsWork = false), nowMillis = 12_500)

            directory.onRestoredSnapshot(listOf(server("a"), server("b")), nowMillis = 14_000)

            directory.servers.filter { it.acceptsWork }.map { it.id } shouldBe listOf("b")
            directory.onWritten(server("a", startedMillis = 1), nowMillis = 14_500)
            directory.servers.filter { it.acceptsWork }.map { it.id } shouldBe listOf("a", "b")
        }

        test("given a restored store, then a run that was removed stays out until it is written") {
            val directory = directoryWithHeartbeats()
            directory.onRemoved("a", nowMillis = 12_500)

            directory.onRestoredSnapshot(listOf(server("a"), server("b")), nowMillis = 14_000)
            directory.onSnapshot(listOf(server("a"), server("b")), nowMillis = 14_100)
            directory.ids() shouldBe listOf("b")

            directory.onWritten(server("a"), nowMillis = 14_500)
            directory.ids() shouldBe listOf("b", "a")
        }

        // Guards against losing servers that registered after the copy was made.
        test("given a restored store, then entries that it lacks are kept until written again") {
            val directory = directoryWithHeartbeats()
            directory.onWritten(server("new"), nowMillis = 12_500)

            directory.onRestoredSnapshot(listOf(server("a"), server("b")), nowMillis = 14_000)

            directory.ids() shouldBe listOf("a", "b", "new")
            directory.expire(nowMillis = 16_200) shouldBe true
            directory.ids() shouldBe listOf("a", "b")
        }

        // Guards against a live server that is left out because its write was not seen.
        test("given a restored store, then what it lists after some heartbeats is used") {
            val directory = directoryWithHeartbeats()
            directory.onRemoved("a", nowMillis = 12_500)
            directory.onRestoredSnapshot(listOf(server("a"), server("b")), nowMillis = 14_000)

            directory.onSnapshot(listOf(server("a"), server("b")), nowMillis = 19_000)

            directory.ids() shouldBe listOf("b", "a")
        }

        // Guards against an instance that takes its own cut from the store for an outage, and
        // uses a server that has left meanwhile.
        listOf(2_200L, 3_500L, 30_000L).forEach { cutMillis ->
            test("given a cut of $cutMillis ms while peers are served, then removals count") {
                val directory = directoryWithHeartbeats()
                val returnMillis = 12_000 + cutMillis
                for (atMillis in 12_000L until returnMillis step 400) {
                    directory.onPeerAnswer(atMillis)
                }
                directory.onStoreUnavailable()
                directory.onStoreAvailable(returnMillis)

                directory.onSnapshot(listOf(server("b")), returnMillis)

                directory.ids() shouldBe listOf("b")
            }
        }

        // Guards against losing the servers of a failure domain that was cut off as a whole: the
        // first that it hears of the store is that it has answered peers elsewhere all the time.
        test("given a cut from the store and all peers, then entries that lapsed are kept") {
            val directory = directoryWithHeartbeats()
            directory.onPeerAnswer(answeredMillis = 12_100)
            directory.onPeerAnswer(answeredMillis = 16_000)
            directory.onPeerAnswer(answeredMillis = 16_400)
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 16_700)

            directory.onSnapshot(listOf(server("b")), nowMillis = 16_700)

            directory.ids() shouldBe listOf("a", "b")
            directory.expire(nowMillis = 18_100) shouldBe false
            directory.expire(nowMillis = 18_200) shouldBe true
            directory.ids() shouldBe listOf("b")
        }

        // Guards against a peer that brings back a server which has left.
        test(
            "given a store that has served all the time, then entries that a peer kept are dropped"
        ) {
            val directory = directoryWithHeartbeats()
            directory.onStoreAvailable(nowMillis = 13_000)

            directory.onPeerCopy(
                listOf(server("b")),
                13_500,
                listOf(KeptServer(server("a"), 2_000)),
            )

            directory.ids() shouldBe listOf("b")
        }

        test("given a server that was dropped before, then a peer that kept it changes nothing") {
            val directory = directoryWithHeartbeats()
            directory.onPeerCopy(listOf(server("b")), 12_500)
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 17_000)

            directory.onPeerCopy(
                listOf(server("b")),
                17_100,
                listOf(KeptServer(server("a"), 2_000)),
            )
            directory.ids() shouldBe listOf("b")

            directory.onPeerCopy(listOf(server("a"), server("b")), 17_500)
            directory.ids() shouldBe listOf("a", "b")
        }

        // Guards against followers that drop a pool whose entries lapsed in an outage, and against
        // those that use it for longer than the instance from which they have it.
        test("given an outage, then entries that a peer kept are used for the rest of their term") {
            val directory = directoryWithHeartbeats()
            directory.onStoreUnavailable()
            directory.onStoreAvailable(nowMillis = 17_000)

            directory.onPeerCopy(emptyList(), 17_400, listOf(KeptServer(server("a"), 1_800)))
            directory.onPeerCopy(emptyList(), 17_600, listOf(KeptServer(server("a"), 2_000)))

            directory.ids() shouldBe listOf("a")
            directory.keptMillis(nowMillis = 18_000) shouldBe mapOf("a" to 1_200L)
            directory.expire(nowMillis = 19_100) shouldBe false
            directory.expire(nowMillis = 19_200) shouldBe true
            directory.ids() shouldBe emptyList()
        }

        test("given an outage of which only peers know the end, then what a peer kept is used") {
            val directory = directoryWithHeartbeats()
            directory.onStoreUnavailable()
            directory.onPeerAnswer(answeredMillis = 17_000)

            directory.onPeerCopy(emptyList(), 17_100, listOf(KeptServer(server("a"), 2_100)))

            directory.ids() shouldBe listOf("a")
        }

        // Guards against an instance that starts after an outage and finds no servers.
        test("given an instance that has just started, then entries that a peer kept are used") {
            val directory = ServerDirectory()
            directory.onStoreAvailable(nowMillis = 20_000)
            directory.onSnapshot(listOf(server("b")), nowMillis = 20_000)
            directory.onWritten(server("b"), nowMillis = 20_100)
            directory.onWritten(server("b"), nowMillis = 21_300)
            directory.onStoreAvailable(nowMillis = 21_300)

            directory.onPeerCopy(listOf(server("b")), 21_400, listOf(KeptServer(server("a"), 700)))

            directory.ids() shouldBe listOf("b", "a")
            directory.expire(nowMillis = 22_100) shouldBe true
            directory.ids() shouldBe listOf("b")
        }

        // Guards against dropping servers that registered after the copy of the store was made.
        test("given a restored store, then entries that a peer kept are used") {
            val directory = directoryWithHeartbeats()
            directory.onStoreAvailable(nowMillis = 13_000)
            directory.onRestored(nowMillis = 13_400)

            directory.onPeerCopy(emptyList(), 13_400, listOf(KeptServer(server("a"), 2_000)))

            directory.ids() shouldBe listOf("a")
        }
    })
