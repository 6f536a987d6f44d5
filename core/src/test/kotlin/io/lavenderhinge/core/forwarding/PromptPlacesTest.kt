package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe

/** Guards against instances that send the first requests with a prompt to different servers. */
class PromptPlacesTest :
    FunSpec({
        val servers = List(24) { ServerRecord(server("s$it")) }

        fun chain(vararg ids: String) = PromptChain(ids.map { PromptPart(it, tokens = 100) })

        fun places(demand: PromptDemand, speeds: SpeedClasses = SpeedClasses()) =
            { chain: PromptChain, among: List<ServerRecord> ->
                val setHash = among.fold(0uL) { hash, record -> hash xor record.idHash }
                PromptPlaces(demand, speeds)
                    .ranked(chain, chain.size, among, setHash, nowMillis = 0)
                    .servers
            }

        test("given instances with other traffic, then they agree on the first place") {
            val busy = PromptDemand()
            repeat(100) { busy.onSent(chain("system", "other$it"), isLastKnown = true, 0) }

            val agreed =
                (0..99).count {
                    val chain = chain("system", "subject$it")
                    places(busy)(chain, servers)[0] == places(PromptDemand())(chain, servers)[0]
                }

            agreed shouldBe 100
        }

        test("given a server that leaves, then only its prompts move") {
            val left = servers.drop(1)

            (0..99).forEach {
                val before = places(PromptDemand())(chain("subject$it"), servers)
                val after = places(PromptDemand())(chain("subject$it"), left)
                after.first() shouldBe before.first { record -> record in left }
            }
        }

        test("given a slow server, then it is the place of fewer prompts") {
            val speeds = SpeedClasses()
            servers.forEachIndexed { index, record ->
                val millis = if (index == 0) 400.0 else 30.0
                repeat(20) {
                    record.observe(
                        ServerOutcome.Answered(millis, millis, 0.0, 0),
                        FirstEventModel(),
                        nowMillis = 0,
                    )
                }
            }

            speeds.update(servers)

            val firsts =
                (0 until 2_400).map { places(PromptDemand(), speeds)(chain("$it"), servers)[0] }
            firsts.count { it == servers[0] } shouldBeLessThan 50
            firsts.count { it == servers[1] } shouldBeGreaterThan 60
        }

        // Guards against a long part that is read on every server for its continuations.
        test("given a part of little traffic, then its continuations share its servers") {
            val demand = PromptDemand()
            repeat(1_000) { demand.onSent(chain("family${it % 200}"), isLastKnown = true, 0) }

            val firsts = (0..49).map { places(demand)(chain("family7", "own$it"), servers)[0] }

            firsts.distinct().size shouldBeLessThan 2
        }

        test("given a part in demand, then it has more places, and the first ones stay") {
            val demand = PromptDemand()
            repeat(1_000) {
                demand.onSent(chain(if (it % 4 == 0) "hot" else "f$it"), isLastKnown = true, 0)
            }

            val hot = places(demand)(chain("hot"), servers)

            hot.size shouldBe 8
            hot shouldContainAll places(PromptDemand())(chain("hot"), servers).take(4)
        }
    })
