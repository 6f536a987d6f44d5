package io.lavenderhinge.ctl

import com.fasterxml.jackson.databind.JsonNode
import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.settings.TreeHash

/** Formats the stored settings and the status that the failure domains report. */
internal class StatusFormatter(
    private val stored: Map<String, StoredTeam>,
    private val nowMillis: Long,
) {
    private val revisions = stored.mapValues { it.value.settings.revision }
    private val treeHash = TreeHash.of(revisions).toString(HASH_RADIX)

    /** The stored revision of each team. */
    fun teamLines(): List<Line> =
        stored.values.map {
            val removed = if (it.settings.text.isBlank()) ", removed" else ""
            Line("team ${it.team}: ${ReportFormat.describeRevision(it.settings)}$removed")
        }

    /** Which revisions are in force per failure domain, from the values of `status/settings/`. */
    fun failureDomainLines(values: Collection<String>): List<Line> =
        values
            .mapNotNull { Json.parseOrNull(it.toByteArray()) }
            .flatMap(::domainLines)
            .ifEmpty {
                listOf(Line("no failure domain has reported its status yet", Severity.WARNING))
            }

    /** Status of other components, such as rollouts, by topic. */
    fun topicLines(values: Map<String, String>): List<Line> =
        values.flatMap { (topic, value) ->
            val node = Json.parseOrNull(value.toByteArray())
            when {
                node == null -> listOf(Line("$topic: $value"))
                node.isValueNode -> listOf(Line("$topic: ${node.asText()}"))
                else -> listOf(Line("$topic:")) + JsonText.lines(node, "  ").map { Line(it) }
            }
        }

    private fun domainLines(node: JsonNode): List<Line> {
        val name = "failure domain ${node.path("failureDomain").asText()}"
        val ageSeconds = (nowMillis - node.path("atMillis").asLong()) / MILLIS_PER_SECOND
        val rejected = node.path("rejected").flatMap { rejectedLines(name, it) }
        val statement =
            when {
                ageSeconds > STALE_SECONDS ->
                    Line(
                        "$name: no statement for $ageSeconds s; it is cut off from the " +
                            "key-value service or down",
                        Severity.ERROR,
                    )
                node.path("treeHash").asText() == treeHash -> inForceLine(name, node, ageSeconds)
                else ->
                    Line(
                        "$name: not all is in force yet ($ageSeconds s ago): " + describeLag(node),
                        Severity.WARNING,
                    )
            }
        return listOf(statement) + rejected
    }

    private fun inForceLine(name: String, node: JsonNode, ageSeconds: Long): Line {
        val instances = node.path("instances").asInt()
        val agreeing = node.path("agreeing").asInt()
        return Line(
            "$name: every stored revision is in force, confirmed by $agreeing of $instances " +
                "instances ($ageSeconds s ago)",
            Severity.SUCCESS,
        )
    }

    private fun describeLag(node: JsonNode): String {
        val teams = node.path("teams")
        if (!teams.isObject) return "it has other revisions"
        return revisions
            .filter { (team, revision) -> teams.path(team).asLong() != revision }
            .map { (team, revision) ->
                "$team has revision ${teams.path(team).asLong()}, stored is $revision"
            }
            .joinToString("; ")
    }

    private fun rejectedLines(name: String, node: JsonNode): List<Line> =
        listOf(
            Line(
                "$name: team ${node.path("team").asText()} revision " +
                    "${node.path("revision").asLong()} is stored but invalid; the previous " +
                    "revision stays in force; apply a corrected text",
                Severity.ERROR,
            )
        ) + node.path("faults").map { Line("  ${it.asText()}", Severity.ERROR) }

    private companion object {
        const val HASH_RADIX = 16
        const val MILLIS_PER_SECOND = 1_000L

        // Failure domains write their status at least every 60 s.
        const val STALE_SECONDS = 150
    }
}
