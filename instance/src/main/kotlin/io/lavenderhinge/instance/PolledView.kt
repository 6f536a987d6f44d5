package io.lavenderhinge.instance

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.KeyValueStore
import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.LiveList
import io.lavenderhinge.core.settings.RouteTable
import io.lavenderhinge.core.settings.SettingsParser
import io.lavenderhinge.core.settings.SettingsTree
import kotlinx.collections.immutable.toImmutableMap

/** Settings and members read straight from the platform; for a fleet of a few instances. */
internal class PolledView(private val store: KeyValueStore, private val list: LiveList) {
    @Volatile
    var tree: SettingsTree? = null
        private set

    @Volatile
    var routes: RouteTable? = null
        private set

    @Volatile
    var members: List<ListedMember> = emptyList()
        private set

    suspend fun refresh() {
        list.fetch().onRight { members = it }
        val stored = store.list("config/").getOrNull() ?: return
        if (stored.isEmpty()) return
        val teams =
            stored.mapNotNull { value ->
                val team = value.key.removePrefix("config/")
                val node = Json.parseOrNull(value.value.toByteArray()) ?: return@mapNotNull null
                val text = node.path("text").asText()
                SettingsParser.parse(team, node.path("revision").asLong(), text).getOrNull()
            }
        val next = SettingsTree(teams.associateBy { it.team }.toImmutableMap())
        if (next == tree) return
        tree = next
        routes = RouteTable(next)
    }
}
