package io.lavenderhinge.experiments.rollout

import kotlin.math.PI
import kotlin.math.sin

/** A route with its share of the traffic and its median latency without load. */
data class SimulatedRoute(val name: String, val trafficFraction: Double, val medianMillis: Double)

/** A reference deployment of design section 1.1. The request rates are assumptions. */
data class Deployment(
    val name: String,
    val instances: Int,
    val engines: Int,
    val peakRequestsPerSecond: Double,
    val routes: List<SimulatedRoute>,
) {
    /** Load between 0 and 1: an hourly sine wave with a one-minute burst every 13 minutes. */
    fun load(seconds: Long): Double {
        val wave = 0.6 + 0.3 * sin(2 * PI * seconds / 3_600)
        return if (seconds % 780 in 400..460) 1.0 else wave
    }

    companion object {
        val caprock =
            Deployment(
                name = "Caprock",
                instances = 8,
                engines = 8,
                peakRequestsPerSecond = 40.0,
                routes =
                    listOf(
                        SimulatedRoute("draft", 0.55, 180.0),
                        SimulatedRoute("summary", 0.25, 400.0),
                        SimulatedRoute("flag", 0.14, 250.0),
                        SimulatedRoute("lookup", 0.06, 120.0),
                    ),
            )
        val pelnu =
            Deployment(
                name = "Pelnu",
                instances = 9,
                engines = 12,
                peakRequestsPerSecond = 60.0,
                routes =
                    listOf(
                        SimulatedRoute("yard", 0.6, 150.0),
                        SimulatedRoute("route-summary", 0.25, 400.0),
                        SimulatedRoute("quality", 0.15, 500.0),
                    ),
            )
        val all = listOf(caprock, pelnu)
    }
}
