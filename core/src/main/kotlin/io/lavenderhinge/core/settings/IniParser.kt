package io.lavenderhinge.core.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.StringReader
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import org.apache.commons.configuration2.tree.ImmutableNode

/** One key of a section; [values] holds more than one entry when the key was repeated. */
internal data class IniEntry(val key: String, val values: List<String>)

/** One section. Keys before the first section are in a section with an empty name. */
internal data class IniSection(
    val name: String,
    val entries: List<IniEntry>,
    val repeated: Boolean,
)

/** Parses INI text into sections and keys without interpreting the values. */
internal object IniParser {
    private val heading = Regex("""^\s*\[([^]]*)]""")

    /** Returns the sections in the order of the text, or the fault that prevented parsing. */
    fun parse(text: String, file: String): Either<SettingsFault, List<IniSection>> {
        val configuration = INIConfiguration().apply { separatorUsedInInput = "=" }
        try {
            configuration.read(StringReader(text))
        } catch (e: ConfigurationException) {
            return unreadable(file, e.message.orEmpty()).left()
        }
        // Reads the raw nodes, because typed access would expand ${env:...} in values.
        val root = configuration.nodeModel.nodeHandler.rootNode
        return sections(root, repeatedHeadings(text)).right()
    }

    private fun sections(root: ImmutableNode, repeated: Set<String>): List<IniSection> {
        val (global, sections) = root.children.partition { it.value != null }
        val named =
            sections.map { node ->
                val name = node.nodeName.orEmpty()
                IniSection(name, entries(node.children), name in repeated)
            }
        if (global.isEmpty()) return named
        return listOf(IniSection("", entries(global), repeated = false)) + named
    }

    private fun entries(nodes: List<ImmutableNode>): List<IniEntry> =
        nodes
            .groupBy { it.nodeName }
            .map { (key, same) -> IniEntry(key, same.map { it.value?.toString().orEmpty() }) }

    private fun repeatedHeadings(text: String): Set<String> =
        text
            .lineSequence()
            .mapNotNull { heading.find(it)?.groupValues?.get(1) }
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys

    private fun unreadable(file: String, detail: String) =
        SettingsFault(
            FaultKind.UNREADABLE,
            file,
            section = "",
            key = "",
            value = "",
            reason = "the text is not valid INI: $detail",
            remedy = "write sections as [name] and keys as key = value",
        )
}
