package io.lavenderhinge.core.settings

import kotlinx.collections.immutable.persistentMapOf

/** Settings of all teams on one instance; the active revision of a team never decreases. */
internal class TeamRecords {
    private val records = HashMap<String, TeamRecord>()
    private val index = RevisionIndex()
    private val teamsByBucket = List(RevisionIndex.BUCKETS) { sortedSetOf<String>() }

    private var teams = persistentMapOf<String, TeamSettings>()

    val tree: SettingsTree
        get() = SettingsTree(teams)

    val rootHash: ULong
        get() = index.rootHash

    val buckets: List<ULong>
        get() = index.buckets()

    /** The record of [team], empty for an unknown team. */
    operator fun get(team: String): TeamRecord = records[team] ?: TeamRecord()

    /** Teams in [bucket], in name order. */
    fun teamsIn(bucket: Int): Collection<String> = teamsByBucket[bucket]

    /** Revisions by team whose latest text was rejected. */
    fun rejected(): Map<String, Long> =
        records
            .mapNotNull { (team, record) -> record.rejected?.let { team to it.revision } }
            .toMap()

    /** Validates and stores [text]; returns null when it is not new. */
    fun accept(text: TeamText): ReplicaEffect? {
        val before = this[text.team]
        if (text.revision <= before.revisions.active) return null
        if (text.revision == before.rejected?.revision) return null
        return SettingsParser.parse(text.team, text.revision, text.text)
            .fold(
                { faults ->
                    if (text.revision < before.latestRevision) return null
                    store(text.team, before.copy(rejected = text))
                    ReplicaEffect.Reject(text.team, text.revision, faults)
                },
                { settings ->
                    val rejected = before.rejected?.takeIf { it.revision > text.revision }
                    store(text.team, TeamRecord(text, settings, rejected))
                    teams = teams.put(text.team, settings)
                    ReplicaEffect.Activate(settings)
                },
            )
    }

    private fun store(team: String, record: TeamRecord) {
        index.replace(team, records[team]?.revisions, record.revisions)
        records[team] = record
        teamsByBucket[RevisionIndex.bucketOf(team)] += team
    }
}
