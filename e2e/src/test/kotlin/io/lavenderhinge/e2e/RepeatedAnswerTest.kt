package io.lavenderhinge.e2e

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.lavenderhinge.e2e.repeating.AnswerCheck
import io.lavenderhinge.e2e.repeating.Finding
import io.lavenderhinge.e2e.repeating.RepeatingFleet

private val firstSeed = System.getProperty("repeats.firstSeed", "1").toLong()
private val seedCount = System.getProperty("repeats.seeds", "2").toInt()
private val requestsPerCaller = System.getProperty("repeats.requestsPerCaller", "60").toInt()

/** The gateways must not refuse so much that hardly any answer is left to compare. */
private const val MIN_COMPARED_SHARE = 0.5

private const val MAX_PRINTED_FINDINGS = 5

private const val MAX_SEED_MILLIS = 120_000L

/**
 * Runs gateway processes before servers that answer twice, the second time late. For a long run,
 * raise the system properties `repeats.seeds` and `repeats.requestsPerCaller`.
 */
class RepeatedAnswerTest :
    FunSpec({
        timeout = seedCount * MAX_SEED_MILLIS

        // Guards against an answer that is passed on to another request, and against a record that
        // runs twice or runs although it was refused.
        context(
            "given servers that answer twice, then each caller gets the answer to its request"
        ) {
            withData(nameFn = { "seed $it" }, firstSeed until firstSeed + seedCount) { seed ->
                RepeatingFleet(seed, tempdir().toPath()).use { fleet ->
                    fleet.start()

                    val calls = fleet.runCallers(requestsPerCaller)

                    val check = AnswerCheck(calls, fleet.log)
                    val findings = check.findings()
                    println(summarize(seed, check, fleet.log.copyCounts, findings))
                    findings.take(MAX_PRINTED_FINDINGS) shouldBe emptyList()
                    check.comparedCount shouldBeGreaterThan
                        (calls.size * MIN_COMPARED_SHARE).toInt()
                }
            }
        }
    })

private fun summarize(
    seed: Long,
    check: AnswerCheck,
    copyCounts: Map<String, Int>,
    findings: List<Finding>,
): String {
    val byKind = findings.groupingBy { it.kind }.eachCount()
    val byCopy = findings.flatMap { it.copies.toSet() }.groupingBy { it }.eachCount()
    return listOf(
            "seed $seed: ${check.comparedCount} answers compared, results ${check.resultCounts}",
            "${copyCounts.values.sum()} copies sent: $copyCounts",
            "findings $byKind, copies before them: ${byCopy.toSortedMap()}",
        )
        .joinToString("\n  ")
}
