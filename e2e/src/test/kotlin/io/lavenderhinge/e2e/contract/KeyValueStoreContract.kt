package io.lavenderhinge.e2e.contract

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

/** Injects faults into the store under test. */
interface StoreFaults {
    suspend fun setOutage(enabled: Boolean)

    suspend fun dropNextResponse()

    suspend fun setSilent(enabled: Boolean)
}

/** Contract tests for all implementations of [KeyValueStore]. */
abstract class KeyValueStoreContract(create: suspend () -> Pair<KeyValueStore, StoreFaults>) :
    FunSpec({
        lateinit var store: KeyValueStore
        lateinit var faults: StoreFaults
        beforeTest {
            val created = create()
            store = created.first
            faults = created.second
        }

        test("given a missing key, when read, then the result is null, not a fault") {
            store.get("a/b c").getOrNull() shouldBe null
            store.get("a/b c").isRight() shouldBe true
        }

        test("given a value, when swapped with its version, then the new value is read") {
            val first = store.compareAndSwap("k", 0, "one").getOrNull()!!
            val second = store.compareAndSwap("k", first, "two ü\n").getOrNull()!!
            (second > first) shouldBe true
            store.get("k").getOrNull()!!.value shouldBe "two ü\n"
        }

        test("given a version mismatch, when swapped, then it conflicts and nothing is written") {
            store.compareAndSwap("k", 0, "one")
            val fault = store.compareAndSwap("k", 0, "two").leftOrNull()
            fault.shouldBeInstanceOf<StoreFault.Conflict>().current?.value shouldBe "one"
            store.get("k").getOrNull()!!.value shouldBe "one"
        }

        test("given concurrent writers, when all swap, then exactly one succeeds") {
            val results = coroutineScope {
                (0 until 10)
                    .map { async { store.compareAndSwap("k", 0, "$it") } }
                    .map { it.await() }
            }
            results.count { it.isRight() } shouldBe 1
        }

        test("given keys, when listed by prefix, then the matching keys are sorted") {
            listOf("p/b", "p/a", "q/a").forEach { store.compareAndSwap(it, 0, it) }
            store.list("p/").getOrNull()!!.map { it.key } shouldBe listOf("p/a", "p/b")
        }

        test("given a watch, when a key changes, then the change is reported once") {
            val start = store.watch("w/", 0, 0).getOrNull()!!.revision
            coroutineScope {
                val watch = async { store.watch("w/", start, 5_000) }
                store.compareAndSwap("w/a", 0, "new")
                val result = watch.await().getOrNull()!!
                result.changes.map { it.value } shouldBe listOf("new")
                store.watch("w/", result.revision, 50).getOrNull()!!.changes.size shouldBe 0
            }
        }

        test("given an expired lease, when its key is read, then the key is missing") {
            val lease = store.grantLease(100).getOrNull()!!
            store.compareAndSwap("held", 0, "x", lease.id)
            while (store.get("held").getOrNull() != null) kotlinx.coroutines.delay(20)
            store.renewLease(lease.id).leftOrNull().shouldBeInstanceOf<StoreFault.Conflict>()
        }

        test("given an outage, when a write fails, then the value is not stored") {
            faults.setOutage(true)
            store
                .compareAndSwap("k", 0, "one")
                .leftOrNull()
                .shouldBeInstanceOf<StoreFault.Unavailable>()
            faults.setOutage(false)
            store.get("k").getOrNull() shouldBe null
        }

        test("given a lost response, when written, then the outcome is unknown and it is stored") {
            faults.dropNextResponse()
            store
                .compareAndSwap("k", 0, "one")
                .leftOrNull()
                .shouldBeInstanceOf<StoreFault.OutcomeUnknown>()
            store.get("k").getOrNull()!!.value shouldBe "one"
        }

        test("given an unresponsive service, when read, then the call times out") {
            faults.setSilent(true)
            store.get("k").leftOrNull().shouldBeInstanceOf<StoreFault.OutcomeUnknown>()
        }

        test("given a value of more than 1 MB, when written, then it is refused") {
            store
                .compareAndSwap("k", 0, "x".repeat(1_000_001))
                .leftOrNull()
                .shouldBeInstanceOf<StoreFault.TooLarge>()
        }
    })
