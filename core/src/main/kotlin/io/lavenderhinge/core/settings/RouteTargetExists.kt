package io.lavenderhinge.core.settings

/** The model or service of a route has a section of its own. */
internal object RouteTargetExists : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.routes
            .filter { route -> !document.hasTarget(route.target) }
            .map { route ->
                val key =
                    when (route.target) {
                        is Target.Model -> TeamSchema.model
                        is Target.Service -> TeamSchema.service
                    }
                document
                    .named("route", route.name)
                    .fault(
                        FaultKind.UNKNOWN_REFERENCE,
                        key,
                        "refers to a section that does not exist",
                        "add [${key.name}.${route.target.name}] or correct the name",
                    )
            }
}
