package io.lavenderhinge.instance.settings

import arrow.core.Either
import io.lavenderhinge.adapters.StoredSettingsCodec
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.settings.Readiness
import io.lavenderhinge.core.settings.ReplicaEffect
import io.lavenderhinge.core.settings.ReplicaEvent
import io.lavenderhinge.core.settings.SettingsReplica
import io.lavenderhinge.core.settings.SettingsTree
import io.lavenderhinge.core.settings.StoredSettings
import io.lavenderhinge.core.settings.TeamText
import io.lavenderhinge.instance.control.ControlThread
import io.lavenderhinge.instance.membership.MembershipService
import io.lavenderhinge.instance.peer.PeerLinks
import io.lavenderhinge.protocol.v1.Delta
import io.lavenderhinge.protocol.v1.Digest
import io.lavenderhinge.protocol.v1.Frame
import io.lavenderhinge.protocol.v1.TeamSettings as TeamSettingsMessage
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Runs the settings replica on the control thread.
 *
 * [current], [ready] and [rejected] may be called on any thread.
 */
class SettingsService(
    private val failureDomain: String,
    private val store: KeyValueStore,
    private val links: PeerLinks,
    private val membership: MembershipService,
    private val control: ControlThread,
) {
    private val replica =
        SettingsReplica(links.selfId, failureDomain, control.nowMillis(), control.random)
    private val statusWriter = StatusWriter(store)
    private val listeners = mutableListOf<(SettingsTree) -> Unit>()
    private val faults = HashMap<String, List<String>>()
    @Volatile private var tree = replica.current
    @Volatile private var readiness = replica.readiness()
    @Volatile private var rejectedTexts = emptyList<RejectedText>()

    /** Starts the periodic work and receives frames from now on. */
    fun start() {
        links.onFrame(::receive)
        membership.addDigestContributor(::addSummary)
        membership.onChange { instancesChanged() }
        control.every(TICK_MILLIS) {
            instancesChanged()
            handle(ReplicaEvent.Tick)
        }
        control.every(STATUS_MILLIS) { if (replica.isFirstRelay) statusWriter.write(status()) }
    }

    /** The active settings. */
    fun current(): SettingsTree = tree

    /** Whether the tree is complete. */
    fun ready(): Readiness = readiness

    /** Stored texts that failed validation; the settings that were active before remain so. */
    fun rejected(): List<RejectedText> = rejectedTexts

    /** Calls [listener] on the control thread with the new tree after each change. */
    fun onChange(listener: (SettingsTree) -> Unit) {
        listeners += listener
    }

    private fun instancesChanged() {
        val instances = membership.liveInstances(failureDomain).toImmutableSet()
        handle(ReplicaEvent.InstancesChanged(instances))
    }

    private fun receive(from: String, frame: Frame) {
        when (frame.bodyCase) {
            Frame.BodyCase.DIGEST -> {
                val entries = frame.digest.revisionsList
                val digest = SettingsDigestCodec.decode(entries, frame.digest.replyWanted) ?: return
                handle(ReplicaEvent.DigestReceived(from, digest))
            }
            Frame.BodyCase.DELTA -> handle(decodeDelta(from, frame.delta))
            else -> Unit
        }
    }

    private fun addSummary(digest: Digest.Builder) {
        val summary = replica.summary(control.nowMillis(), reply = !digest.replyWanted)
        digest.addAllRevisions(SettingsDigestCodec.encode(summary))
    }

    private fun handle(event: ReplicaEvent) {
        val before = tree.teams
        val effects = replica.handle(event, control.nowMillis())
        tree = replica.current
        readiness = replica.readiness()
        effects.forEach(::execute)
        if (tree.teams !== before) listeners.forEach { it(tree) }
    }

    private fun execute(effect: ReplicaEffect) {
        when (effect) {
            is ReplicaEffect.ListPlatform -> listPlatform()
            is ReplicaEffect.WatchPlatform -> watchPlatform(effect)
            is ReplicaEffect.SendDigest ->
                send(
                    effect.to,
                    Frame.newBuilder()
                        .setDigest(
                            Digest.newBuilder()
                                .addAllRevisions(SettingsDigestCodec.encode(effect.digest))
                        ),
                )
            is ReplicaEffect.SendDelta ->
                send(effect.to, Frame.newBuilder().setDelta(encodeDelta(effect)))
            is ReplicaEffect.Activate -> {
                val settings = effect.settings
                log.info("settings: {} revision {} is in force", settings.team, settings.revision)
                refreshRejected()
            }
            is ReplicaEffect.Reject -> {
                faults[effect.team] = effect.faults.all.map { it.message }
                log.error("settings: {} revision {} is invalid", effect.team, effect.revision)
                effect.faults.forEach { log.error("settings: {}", it.message) }
                refreshRejected()
            }
            is ReplicaEffect.BecameReady -> log.info("settings: the tree is complete")
        }
    }

    private fun refreshRejected() {
        val rejected = replica.rejected
        faults.keys.retainAll(rejected.keys)
        rejectedTexts =
            rejected.map { (team, revision) ->
                RejectedText(team, revision, faults[team].orEmpty())
            }
    }

    private fun listPlatform() {
        control.scope.launch {
            val result = store.list(StoredSettings.PREFIX)
            handle(toEvent(result) { ReplicaEvent.Listed(texts(it)) })
        }
    }

    private fun watchPlatform(effect: ReplicaEffect.WatchPlatform) {
        control.scope.launch {
            val result = store.watch(StoredSettings.PREFIX, effect.afterRevision, effect.waitMillis)
            handle(toEvent(result) { ReplicaEvent.Watched(texts(it.changes), it.revision) })
        }
    }

    private fun <T> toEvent(
        result: Either<StoreFault, T>,
        event: (T) -> ReplicaEvent,
    ): ReplicaEvent = result.fold({ ReplicaEvent.PlatformFailed(it.message) }, event)

    private fun texts(values: List<VersionedValue>): ImmutableList<TeamText> =
        values
            .mapNotNull { value ->
                val team = value.key.removePrefix(StoredSettings.PREFIX)
                StoredSettingsCodec.decode(value.value)
                    .onLeft { log.error("settings: {} cannot be read: {}", value.key, it) }
                    .getOrNull()
                    ?.let { TeamText(team, it.revision, it.text) }
            }
            .toImmutableList()

    private fun decodeDelta(from: String, delta: Delta) =
        ReplicaEvent.DeltaReceived(
            from,
            delta.settingsList.map { TeamText(it.team, it.revision, it.text) }.toImmutableList(),
            delta.wantedTeamsList.toImmutableList(),
        )

    private fun encodeDelta(effect: ReplicaEffect.SendDelta): Delta.Builder =
        Delta.newBuilder()
            .addAllSettings(
                effect.texts.map {
                    TeamSettingsMessage.newBuilder()
                        .setTeam(it.team)
                        .setRevision(it.revision)
                        .setText(it.text)
                        .build()
                }
            )
            .addAllWantedTeams(effect.wantedTeams)

    private fun send(to: String, frame: Frame.Builder) {
        // A failed send is not retried: the next exchange of digests makes up for it.
        links.send(to, frame.build())
    }

    private fun status(): SettingsStatus {
        val revisions = tree.teams.mapValues { it.value.revision }
        return SettingsStatus(
            failureDomain,
            control.nowMillis(),
            replica.rootHash.toString(HASH_RADIX),
            revisions.takeIf { it.size <= SettingsStatus.TEAM_LIMIT },
            replica.domainInstances,
            replica.agreeingInstances,
            rejectedTexts,
        )
    }

    private companion object {
        const val TICK_MILLIS = 500L
        const val STATUS_MILLIS = 1_000L
        const val HASH_RADIX = 16
        val log = LoggerFactory.getLogger(SettingsService::class.java)
    }
}
