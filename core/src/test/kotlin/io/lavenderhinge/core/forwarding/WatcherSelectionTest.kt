package io.lavenderhinge.core.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

class WatcherSelectionTest :
    FunSpec({
        val fleet = (1..5).flatMap { domain -> (1..19).map { "front-d$domain-$it" } }

        /** Selections of all [ids], each of which knows the others and has heard of watchers. */
        fun watchers(ids: List<String>): List<String> =
            ids.filter { id ->
                val selection = WatcherSelection(id)
                (ids - id).forEach { selection.onReport(it, isWatching = true, nowMillis = 0) }
                selection.mustWatch((ids - id).toSet(), nowMillis = 0)
            }

        // Guards against calls to the store that grow with the fleet.
        test("given a large fleet, then a few instances in most failure domains watch") {
            val watchers = watchers(fleet)

            watchers.size shouldBe 10
            watchers.map { it.substringBeforeLast('-') }.distinct().size shouldBeInRange 3..5
        }

        test("given a small fleet, then all instances watch") {
            watchers(fleet.take(9)).size shouldBe 9
        }

        // Guards against a failure domain whose server list stays as it was when it was cut off.
        test("given no report of a watcher, then an instance watches by itself") {
            val follower = fleet.first { it !in watchers(fleet) }
            val selection = WatcherSelection(follower)
            val peers = (fleet - follower).toSet()
            selection.onReport(watchers(fleet).first(), isWatching = true, nowMillis = 0)

            selection.mustWatch(peers, nowMillis = 1_000) shouldBe false
            selection.mustWatch(peers, nowMillis = 1_300) shouldBe true
        }

        // Guards against taking the list from a watcher that the store does not answer.
        test("given a watcher that lost the store, then another one is the source") {
            val selection = WatcherSelection("a")
            selection.onReport("b", isWatching = true, nowMillis = 0)
            selection.onReport("c", isWatching = true, nowMillis = 0)
            val lost = selection.sources(nowMillis = 10).ranked.first()

            selection.onReport(lost, isWatching = false, nowMillis = 20)

            selection.sources(nowMillis = 30).ranked shouldBe listOf("b", "c") - lost
        }

        // Guards against a watcher to which all followers turn at once.
        test("given a large fleet, then the preferred and the next sources are spread") {
            val watchers = watchers(fleet)
            val sources =
                (fleet - watchers.toSet()).map { id ->
                    val selection = WatcherSelection(id)
                    watchers.forEach { selection.onReport(it, isWatching = true, nowMillis = 0) }
                    selection.sources(nowMillis = 0).ranked
                }

            listOf(0, 1).forEach { rank ->
                sources.groupingBy { it[rank] }.eachCount().values.max() shouldBeInRange 1..20
            }
        }
    })
