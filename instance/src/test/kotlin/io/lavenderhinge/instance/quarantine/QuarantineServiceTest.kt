package io.lavenderhinge.instance.quarantine

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.settings.InMemoryLinks
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Two instances over in-memory links. */
private class LinkedPair : AutoCloseable {
    private val ids = listOf("a", "b")
    private val links = ConcurrentHashMap<String, InMemoryLinks>()
    private val controls = ids.map { ControlThread() }

    val services =
        ids.zip(controls).map { (id, control) ->
            val link = InMemoryLinks(id, control, links).also { links[id] = it }
            QuarantineService(link, control) { ids }
        }

    init {
        services.zip(controls).forEach { (service, control) -> control.execute(service::start) }
    }

    override fun close() = controls.forEach { it.close() }
}

class QuarantineServiceTest :
    FunSpec({
        // Guards against a crashing prompt that each instance has to find by itself.
        test("given crashes at one instance, then the other one blocks the part, too") {
            LinkedPair().use { pair ->
                val (one, other) = pair.services
                one.recordAnswer("model", listOf("rules", "sound", "own"))
                repeat(3) { one.recordCrash("engine-$it", "model", listOf("rules", "bad", "o$it")) }

                eventually(5.seconds) {
                    other.blockedPart("model", listOf("rules", "bad", "x")) shouldBe "bad"
                }

                other.revision shouldBeGreaterThan 0
                other.blockedPart("model", listOf("rules", "sound", "x")) shouldBe null
            }
        }

        test("given an answer at the other instance, then the part is released everywhere") {
            LinkedPair().use { pair ->
                val (one, other) = pair.services
                one.recordAnswer("model", listOf("rules", "sound", "own"))
                repeat(3) {
                    one.recordCrash("engine-$it", "model", listOf("rules", "rare", "o$it"))
                }
                eventually(5.seconds) {
                    other.blockedPart("model", listOf("rare", "x")) shouldBe "rare"
                }

                other.recordAnswer("model", listOf("rules", "rare", "own"))

                eventually(5.seconds) {
                    one.blockedPart("model", listOf("rare", "x")) shouldBe null
                }
            }
        }
    })
