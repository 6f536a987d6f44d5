package io.lavenderhinge.experiments.report

/** Formats rows as a Markdown table with aligned columns. */
internal fun textTable(header: List<String>, rows: List<List<String>>): String {
    val widths =
        header.indices.map { column -> (rows + listOf(header)).maxOf { it[column].length } }
    val separator = widths.map { "-".repeat(it) }
    return (listOf(header, separator) + rows).joinToString("\n") { row ->
        row.withIndex().joinToString(" | ", "| ", " |") { (column, cell) ->
            cell.padEnd(widths[column])
        }
    }
}

internal fun formatPercent(fraction: Double): String = "%.1f%%".format(fraction * 100)

internal fun formatDecimal(value: Double?): String = value?.let { "%.1f".format(it) } ?: "-"

internal fun formatInteger(value: Double?): String = value?.let { "%.0f".format(it) } ?: "-"
