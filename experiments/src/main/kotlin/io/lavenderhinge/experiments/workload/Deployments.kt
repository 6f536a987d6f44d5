package io.lavenderhinge.experiments.workload

import io.lavenderhinge.core.port.ListedMember
import io.lavenderhinge.core.port.MemberKind

/** Predefined deployments for the experiments. */
object Deployments {
    /** Fleet of Caprock Waiver Systems: 3 failure domains, 8 replicas of one model. */
    val caprock =
        Deployment(
            name = "caprock",
            members =
                fleet(
                    FleetSize(domains = 3, instances = 8, replicas = 8, services = 3),
                    models = listOf("drafting"),
                    service = "counter",
                ),
            workspaces = fiveWorkspaces("counter"),
            routes = caprockRoutes("drafting"),
            clientDelayMicros = 3_000,
            intraDomainDelayMicros = 150,
            crossDomainDelayMicros = 1_500,
            crossRegionDelayMicros = 0,
            serviceConcurrency = 2,
        )

    /** Fleet of Pelnu Loks: 4 failure domains, 12 replicas of one model. */
    val pelnu =
        Deployment(
            name = "pelnu",
            members =
                fleet(
                    FleetSize(domains = 4, instances = 8, replicas = 12, services = 4),
                    models = listOf("yard"),
                    service = "booking",
                ),
            workspaces = fiveWorkspaces("yard"),
            routes = pelnuRoutes("yard"),
            clientDelayMicros = 3_000,
            intraDomainDelayMicros = 150,
            crossDomainDelayMicros = 500,
            crossRegionDelayMicros = 0,
            serviceConcurrency = 2,
        )

    /** One tenth of the design scale: 32 instances, 60 replicas of 4 models, 480 workspaces. */
    val fullTenth =
        Deployment(
            name = "full-tenth",
            members =
                fleet(
                    FleetSize(domains = 5, instances = 32, replicas = 60, services = 10),
                    models = listOf("model-a", "model-b", "model-c", "model-d"),
                    service = "counter",
                ),
            workspaces = zipfWorkspaces(count = 480),
            routes =
                listOf("model-a", "model-b", "model-c", "model-d").flatMap { model ->
                    caprockRoutes(model).map { it.copy(shareFraction = it.shareFraction / 4) }
                },
            clientDelayMicros = 3_000,
            intraDomainDelayMicros = 150,
            crossDomainDelayMicros = 1_000,
            crossRegionDelayMicros = 35_000,
            serviceConcurrency = 5,
        )

    val byName: Map<String, Deployment> = listOf(caprock, pelnu, fullTenth).associateBy { it.name }

    private data class FleetSize(
        val domains: Int,
        val instances: Int,
        val replicas: Int,
        val services: Int,
    )

    private fun fleet(size: FleetSize, models: List<String>, service: String): List<ListedMember> =
        List(size.instances) { member(MemberKind.INSTANCE, it, size.domains, "") } +
            List(size.replicas) {
                member(MemberKind.MODEL_ENGINE, it, size.domains, models[it % models.size])
                    .copy(hardwareGeneration = hardwareGeneration(it / models.size))
            } +
            List(size.services) { member(MemberKind.PLAIN_SERVICE, it, size.domains, service) }

    private fun member(kind: MemberKind, index: Int, domains: Int, serves: String): ListedMember {
        val domain = index % domains
        val prefix =
            when (kind) {
                MemberKind.INSTANCE -> "instance"
                MemberKind.MODEL_ENGINE -> "engine"
                MemberKind.PLAIN_SERVICE -> "service"
            }
        return ListedMember(
            id = "$prefix-$index",
            kind = kind,
            address = "10.${kind.ordinal}.$domain.${index + 1}:8000",
            failureDomain = "domain-$domain",
            region =
                if (domains > MAX_SINGLE_REGION_DOMAINS && domain >= SECOND_REGION_START) "region-1"
                else "region-0",
            leaving = false,
            serves = serves,
            version = if (serves.isEmpty()) "" else "1",
        )
    }

    // Three consecutive replicas share a hardware generation and lie in different failure domains,
    // so that losing one domain does not remove a whole generation.
    private fun hardwareGeneration(index: Int): Int = index / 3 % 3 + 1

    // In a fleet of more than four domains, those from index 3 on are in a second region.
    private const val MAX_SINGLE_REGION_DOMAINS = 4
    private const val SECOND_REGION_START = 3

    private fun fiveWorkspaces(prefix: String): List<WorkspaceProfile> =
        listOf(0.40, 0.27, 0.15, 0.11, 0.07).mapIndexed { index, share ->
            WorkspaceProfile("$prefix-$index", share, weight = if (index < 2) 4.0 else 1.0)
        }

    private fun zipfWorkspaces(count: Int): List<WorkspaceProfile> {
        val total = (1..count).sumOf { 1.0 / it }
        return List(count) {
            WorkspaceProfile("workspace-$it", 1.0 / (it + 1) / total, weight = 1.0)
        }
    }
}
