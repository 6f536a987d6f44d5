package io.lavenderhinge.core.settings

/** A route names either a model or a service. */
internal object RouteHasOneTarget : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        document.all("route").mapNotNull { section ->
            val model = section.isSet(TeamSchema.model)
            val service = section.isSet(TeamSchema.service)
            when {
                model && service ->
                    section.fault(
                        FaultKind.CONTRADICTION,
                        TeamSchema.service,
                        "is set together with model",
                        "keep the one that serves this route",
                    )
                !model && !service ->
                    section.fault(
                        FaultKind.MISSING_KEY,
                        TeamSchema.model,
                        "is missing, and so is service",
                        "add model = NAME or service = NAME",
                    )
                else -> null
            }
        }
}
