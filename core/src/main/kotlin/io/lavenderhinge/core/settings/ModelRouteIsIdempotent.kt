package io.lavenderhinge.core.settings

/**
 * A model route is idempotent: outcomes are recorded for plain services only, because the response
 * of a model is a stream.
 */
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
                        "is not supported on a model route",
                        "remove it, or route to a service",
                    )
            }
}
