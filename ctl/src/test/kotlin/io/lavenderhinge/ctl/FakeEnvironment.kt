package io.lavenderhinge.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.Lease
import io.lavenderhinge.core.port.StoreFault
import io.lavenderhinge.core.port.VersionedValue
import io.lavenderhinge.core.port.WatchResult
import io.lavenderhinge.core.settings.Address
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlinx.collections.immutable.toImmutableList

/** In-memory key-value service; [beforeSwap] and [lostResponse] inject faults. */
internal class FakeStore : KeyValueStore {
    val entries = sortedMapOf<String, VersionedValue>()
    var isUnavailable = false
    var failsReads = false
    /** Runs once before the next compare-and-swap, for example to write as another operator. */
    var beforeSwap: (() -> Unit)? = null
    /** Loses the response of the next compare-and-swap, before or after it takes effect. */
    var lostResponse: LostResponse? = null
    private var revision = 0L

    enum class LostResponse {
        BEFORE_WRITE,
        AFTER_WRITE,
    }

    fun put(key: String, value: String) {
        entries[key] = VersionedValue(key, value, ++revision)
    }

    override suspend fun get(key: String) = unlessUnavailable { entries[key] }

    override suspend fun list(prefix: String) = unlessUnavailable {
        entries.values.filter { it.key.startsWith(prefix) }.toImmutableList()
    }

    override suspend fun compareAndSwap(
        key: String,
        expectedVersion: Long,
        value: String,
        leaseId: String?,
    ): Either<StoreFault, Long> {
        beforeSwap?.also { beforeSwap = null }?.invoke()
        if (isUnavailable) return StoreFault.Unavailable("connection refused").left()
        val lost = lostResponse.also { lostResponse = null }
        val unknown = StoreFault.OutcomeUnknown("the response was lost").left()
        if (lost == LostResponse.BEFORE_WRITE) return unknown
        val current = entries[key]
        if ((current?.version ?: 0) != expectedVersion) return StoreFault.Conflict(current).left()
        put(key, value)
        return if (lost == LostResponse.AFTER_WRITE) unknown else revision.right()
    }

    override suspend fun watch(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Either<StoreFault, WatchResult> = error("lavenderhingectl does not watch keys")

    override suspend fun grantLease(timeToLiveMillis: Long): Either<StoreFault, Lease> =
        error("lavenderhingectl uses no leases")

    override suspend fun renewLease(leaseId: String): Either<StoreFault, Lease> =
        error("lavenderhingectl uses no leases")

    private fun <T> unlessUnavailable(value: () -> T): Either<StoreFault, T> =
        if (isUnavailable || failsReads) StoreFault.Unavailable("connection refused").left()
        else value().right()
}

internal class FakeEnvironment(val store: FakeStore = FakeStore()) : Environment {
    val operators = mutableMapOf<String, OperatorResponse>()
    var input = ""
    var nowMillis = 1_796_000_000_000L

    override fun store(address: Address): KeyValueStore = store

    override suspend fun getFromOperatorPort(address: Address, path: String, query: String) =
        operators[if (query.isEmpty()) path else "$path?$query"]

    override fun nowMillis(): Long = nowMillis

    override fun standardInput() = input.byteInputStream()

    override fun userName(): String = "anna"

    /** Runs the command line [arguments], in which `DIR` stands for [directory]. */
    fun run(arguments: String, directory: Path? = null): CliktCommandTestResult =
        createRootCommand(this)
            .test(
                arguments.split(' ').map { if (it == "DIR") "$directory" else it },
                envvars = mapOf("LAVENDERHINGE_KEY_VALUE" to "http://127.0.0.1:1"),
            )
}

/** Creates a temporary directory with [files], given as pairs of name and text. */
internal fun settingsDirectoryOf(vararg files: Pair<String, String>): Path =
    Files.createTempDirectory("settings").also { directory ->
        directory.toFile().deleteOnExit()
        files.forEach { (name, text) -> directory.resolve(name).writeText(text) }
    }

internal fun teamText(name: String, version: String = "1") =
    "[team]\nname = $name\n[service.s]\nversion = $version\n"
