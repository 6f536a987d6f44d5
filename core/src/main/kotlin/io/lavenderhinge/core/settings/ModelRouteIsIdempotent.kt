package io.lavenderhinge.core.settings

/** Outcomes are recorded for plain services only, because a model's answer is a stream. */
internal object ModelRouteIsIdempotent : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.routes
            .filter { it.target is Target.Model && !it.idempotent }
            .map {
                document
                    .named("route", it.name)
                    .fault(
                        FaultKind.CONTRADICTION,
                        TeamSchema.idempotent,
                        "is not possible on the route of a model",
                        "remove it, or let a service answer the route",
                    )
            }
}
