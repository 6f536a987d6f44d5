package io.lavenderhinge.core.forwarding

/**
 * The max-min fair share of each workspace: none gets more than [levelMillis] while another one
 * that asks for more gets less.
 */
internal class ShareLevel(
    /** Slot time that a workspace may have taken before it is above its share. */
    val levelMillis: Double,
    /** The share of a workspace that asks for more than its share. */
    val shareFraction: Double,
) {
    companion object {
        /**
         * Divides [totalMillis] of slot time among workspaces that ask for [demandsMillis], which
         * are at least as much in total.
         */
        fun of(totalMillis: Double, demandsMillis: Collection<Double>): ShareLevel {
            if (demandsMillis.isEmpty() || totalMillis <= 0)
                return ShareLevel(0.0, 1.0 / demandsMillis.size.coerceAtLeast(1))
            var restMillis = totalMillis
            var restCount = demandsMillis.size
            for (demandMillis in demandsMillis.sorted()) {
                if (restCount == 1 || demandMillis * restCount > restMillis) break
                restMillis -= demandMillis
                restCount--
            }
            val levelMillis = restMillis / restCount
            return ShareLevel(levelMillis, levelMillis / totalMillis)
        }
    }
}
