package io.lavenderhinge.instance.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.rollout.RolloutPhase
import kotlinx.collections.immutable.persistentListOf

private fun RolloutFleet.phase(): RolloutPhase? =
    store.values["rollout/caprock/drafting"]?.let { RecordCodec.decode(it.value)?.phase }

private fun fleetTest(size: Int = 4, check: (RolloutFleet) -> Unit) =
    RolloutFleet(size).use { check(it) }

class RolloutServiceTest :
    FunSpec({
        test("given a good version, when the fleet runs, then it gets all traffic in time") {
            fleetTest { fleet ->
                fleet.run(seconds = 1_800) { fleet.status()?.contains("done") == true }
                fleet.run(seconds = 5)

                fleet.newShare() shouldBe 1.0
                fleet.status()!! shouldContain "drafting 7 -> 8: done at"
                fleet.services
                    .getValue("i1")
                    .statements()
                    .getValue("caprock/drafting") shouldContain "done at"
                fleet.engines.flatMap { it.orders }.map { it.version }.toSet() shouldBe setOf("8")
            }
        }

        test("given a failing version, when it is rolled out, then all instances stop using it") {
            fleetTest { fleet ->
                fleet.run(seconds = 600, newVersionFails = true) {
                    fleet.phase() == RolloutPhase.UNDONE
                }
                fleet.run(seconds = 20, newVersionFails = true)

                fleet.newShare() shouldBe 0.0
                fleet.status()!! shouldContain "undone at"
            }
        }

        // Guards against a bad version that keeps its traffic because the record cannot be written.
        test("given the platform down, when a version turns bad, then gossip stops it everywhere") {
            fleetTest { fleet ->
                fleet.run(seconds = 600) { fleet.newShare() > 0.03 }
                fleet.store.down = true
                fleet.run(seconds = 20)
                (fleet.newShare() > 0.0) shouldBe true

                // Only one instance observes the fault; the others must learn of it by gossip.
                fleet.run(seconds = 300, failingInstances = setOf("i3")) { fleet.newShare() == 0.0 }

                fleet.newShare() shouldBe 0.0
                fleet.phase() shouldBe RolloutPhase.MOVING
                fleet.services.getValue("i2").statements().values.single() shouldContain "stopped"
                fleet.store.down = false
                fleet.run(seconds = 60)
                fleet.phase() shouldBe RolloutPhase.UNDONE
            }
        }

        // Guards against control work that blocks on platform calls that never return.
        test("given calls that get no answer, when a version turns bad, then it is stopped") {
            fleetTest { fleet ->
                fleet.run(seconds = 600) { fleet.newShare() > 0.03 }
                fleet.store.unresponsive = true

                fleet.run(seconds = 300, newVersionFails = true) { fleet.newShare() == 0.0 }

                fleet.newShare() shouldBe 0.0
            }
        }

        test("given a failed controller, when other instances run on, then the rollout is done") {
            fleetTest(size = 5) { fleet ->
                fleet.run(seconds = 600) { fleet.newShare() > 0.03 }
                val record = fleet.store.values.getValue("rollout/caprock/drafting")
                val controllerId = RecordCodec.decode(record.value)!!.controllerId

                fleet.live -= controllerId
                fleet.run(seconds = 1_800) { fleet.phase()?.terminal == true }

                fleet.phase() shouldBe RolloutPhase.DONE
            }
        }

        test("given a withdrawn rollout, when the settings apply, then it gets no traffic") {
            fleetTest { fleet ->
                fleet.run(seconds = 600) { fleet.newShare() > 0.03 }

                fleet.rollouts = persistentListOf()
                fleet.run(seconds = 1)

                fleet.newShare() shouldBe 0.0
                fleet.run(seconds = 20)
                fleet.phase() shouldBe RolloutPhase.UNDONE
            }
        }

        test("given a record of unknown format, when it is read, then it is not changed") {
            fleetTest { fleet ->
                val key = "rollout/caprock/drafting"
                fleet.store.values[key] = VersionedValue(key, "{\"form\": 9}", 3)

                fleet.run(seconds = 60)

                fleet.store.values.getValue(key).version shouldBe 3
                fleet.newShare() shouldBe 0.0
            }
        }
    })
