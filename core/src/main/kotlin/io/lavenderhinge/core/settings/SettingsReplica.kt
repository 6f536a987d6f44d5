package io.lavenderhinge.core.settings

import kotlin.random.Random
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

/**
 * Replica of the settings on one instance, and the protocol that distributes them.
 *
 * A relay watches the platform and starts the push of a change; gossip delivers what the push
 * missed.
 */
class SettingsReplica(
    private val selfId: String,
    private val failureDomain: String,
    startedAtMillis: Long,
    random: Random,
) {
    private val records = TeamRecords()
    private val recentChanges = RecentChanges()
    private val platformCalls = PlatformCallSchedule(random, startedAtMillis)
    private val peerHashes = HashMap<String, ULong>()
    private var instances = setOf(selfId)
    private var relays = listOf(selfId)
    private var isReady = false
    private var nextBucketsMillis = 0L

    /** The active settings. */
    val current: SettingsTree
        get() = records.tree

    /** Hash of all revisions held; equal on instances with the same settings. */
    val rootHash: ULong
        get() = records.rootHash

    /** Teams whose latest text was rejected, with its revision. */
    val rejected: Map<String, Long>
        get() = records.rejected()

    /** Whether this instance watches the platform for its domain. */
    val isRelay: Boolean
        get() = selfId in relays

    /** Whether this instance writes its domain's status. */
    val isFirstRelay: Boolean
        get() = relays.first() == selfId

    /**
     * Number of live instances of the domain known to hold the same revisions, including this one.
     */
    val agreeingInstances: Int
        get() = 1 + instances.count { it != selfId && peerHashes[it] == records.rootHash }

    /** Number of live instances of the domain, including this one. */
    val domainInstances: Int
        get() = (instances + selfId).size

    /** Whether the tree is complete. */
    fun readiness(): Readiness =
        if (isReady) Readiness.Ready
        else
            Readiness.NotReady(
                "settings are not complete: ${platformCalls.fault ?: "no listing yet"}, and no " +
                    "ready peer has confirmed them; check the key-value service and [seeds] peers"
            )

    /** The digest for a periodic exchange. */
    fun summary(nowMillis: Long, reply: Boolean = false): SettingsDigest.Summary =
        SettingsDigest.Summary(
            records.rootHash,
            isReady,
            recentChanges.withinWindow(nowMillis),
            reply,
        )

    /** Handles [event] and returns the resulting actions. */
    fun handle(event: ReplicaEvent, nowMillis: Long): List<ReplicaEffect> =
        when (event) {
            is ReplicaEvent.Tick -> platformCall(nowMillis)
            is ReplicaEvent.InstancesChanged -> onInstances(event, nowMillis)
            is ReplicaEvent.Listed -> onListed(event, nowMillis)
            is ReplicaEvent.Watched -> onWatched(event, nowMillis)
            is ReplicaEvent.PlatformFailed -> {
                platformCalls.onFailed(event.message, nowMillis)
                emptyList()
            }
            is ReplicaEvent.DigestReceived -> onDigest(event.from, event.digest, nowMillis)
            is ReplicaEvent.DeltaReceived -> onDelta(event, nowMillis)
        }

    private fun platformCall(nowMillis: Long) =
        listOfNotNull(platformCalls.next(isRelay, isReady, nowMillis))

    private fun onInstances(
        event: ReplicaEvent.InstancesChanged,
        nowMillis: Long,
    ): List<ReplicaEffect> {
        if (event.instances == instances) return emptyList()
        instances = event.instances
        relays = PushTree.relays(failureDomain, instances + selfId)
        peerHashes.keys.retainAll(instances)
        return platformCall(nowMillis)
    }

    private fun onListed(event: ReplicaEvent.Listed, nowMillis: Long): List<ReplicaEffect> {
        platformCalls.onListed(nowMillis)
        return accept(event.texts, nowMillis) + becomeReady() + platformCall(nowMillis)
    }

    private fun onWatched(event: ReplicaEvent.Watched, nowMillis: Long): List<ReplicaEffect> {
        platformCalls.onWatched(event.revision)
        return accept(event.texts, nowMillis) + platformCall(nowMillis)
    }

    private fun onDigest(
        from: String,
        digest: SettingsDigest,
        nowMillis: Long,
    ): List<ReplicaEffect> =
        when (digest) {
            is SettingsDigest.Summary -> onSummary(from, digest, nowMillis)
            is SettingsDigest.Buckets -> onBuckets(from, digest)
            is SettingsDigest.Details -> onDetails(from, digest)
        }

    private fun onSummary(
        from: String,
        summary: SettingsDigest.Summary,
        nowMillis: Long,
    ): List<ReplicaEffect> {
        if (summary.complete) peerHashes[from] = summary.rootHash
        if (summary.rootHash == records.rootHash) {
            return if (summary.complete) becomeReady() else emptyList()
        }
        val wanted =
            summary.recent.filter { (team, rev) -> rev > records[team].latestRevision }.keys
        if (wanted.isNotEmpty()) return send(from, emptyList(), wanted.toList())
        // Only the side that sent the first summary continues, so that both do not send buckets.
        if (!summary.reply || nowMillis < nextBucketsMillis) return emptyList()
        if (isReady) nextBucketsMillis = nowMillis + BUCKETS_PERIOD_MILLIS
        val buckets = SettingsDigest.Buckets(records.buckets.toImmutableList())
        return listOf(ReplicaEffect.SendDigest(from, buckets))
    }

    private fun onBuckets(from: String, theirs: SettingsDigest.Buckets): List<ReplicaEffect> {
        val ours = records.buckets
        val differing = ours.indices.filter { ours[it] != theirs.hashes.getOrNull(it) }
        val (empty, other) = differing.partition { theirs.hashes.getOrNull(it) == 0uL }
        val texts = empty.flatMap(records::teamsIn).flatMap { records[it].texts }
        if (other.isEmpty()) return send(from, texts, emptyList())
        val buckets = other.take(DETAILED_BUCKETS)
        val revisions = buckets.flatMap(records::teamsIn).associateWith { records[it].revisions }
        val details = SettingsDigest.Details(buckets.toImmutableSet(), revisions.toImmutableMap())
        return send(from, texts, emptyList()) + ReplicaEffect.SendDigest(from, details)
    }

    private fun onDetails(from: String, theirs: SettingsDigest.Details): List<ReplicaEffect> {
        val missing =
            theirs.buckets
                .filter { it in 0 until RevisionIndex.BUCKETS }
                .flatMap { bucket ->
                    records.teamsIn(bucket).flatMap { team ->
                        records[team].textsMissingAt(theirs.revisions[team] ?: TeamRevisions(0, 0))
                    }
                }
        val wanted = theirs.revisions.filter { (team, held) -> records[team].isBehind(held) }.keys
        return send(from, missing, wanted.toList())
    }

    private fun onDelta(event: ReplicaEvent.DeltaReceived, nowMillis: Long): List<ReplicaEffect> =
        accept(event.texts, nowMillis) +
            send(event.from, event.wantedTeams.flatMap { records[it].texts }, emptyList())

    private fun send(to: String, texts: List<TeamText>, wanted: List<String>) =
        TextChunks.split(texts).map { ReplicaEffect.SendDelta(to, it, emptyList()) } +
            listOfNotNull(
                ReplicaEffect.SendDelta(to, emptyList(), wanted).takeIf { wanted.isNotEmpty() }
            )

    private fun accept(texts: List<TeamText>, nowMillis: Long): List<ReplicaEffect> =
        texts.flatMap { text ->
            val effect = records.accept(text)
            if (effect == null) emptyList()
            else {
                recentChanges.add(text.team, text.revision, nowMillis)
                listOf(effect) + push(text)
            }
        }

    // An instance that is loading its first tree has nothing to forward.
    private fun push(text: TeamText): List<ReplicaEffect> =
        if (!isReady) emptyList()
        else
            PushTree.children(selfId, relays, instances, text.team, text.revision).map {
                ReplicaEffect.SendDelta(it, listOf(text), emptyList())
            }

    private fun becomeReady(): List<ReplicaEffect> {
        if (isReady) return emptyList()
        isReady = true
        return listOf(ReplicaEffect.BecameReady)
    }

    private companion object {
        // Summaries carry recent changes; the more detailed levels are only for older differences.
        const val BUCKETS_PERIOD_MILLIS = 3_000L
        const val DETAILED_BUCKETS = 4
    }
}
