package io.lavenderhinge.core.settings

/** A request matches one route: no two share a path and a model, or the path of a service route. */
internal object RouteIsUnique : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.routes.mapIndexedNotNull { index, route ->
            val earlier = settings.routes.take(index).firstOrNull { overlaps(it, route) }
            earlier?.let {
                document
                    .named("route", route.name)
                    .fault(
                        FaultKind.NOT_UNIQUE,
                        TeamSchema.path,
                        "matches the same requests as [route.${it.name}]",
                        "change the path or remove one of the two routes",
                    )
            }
        }

    private fun overlaps(one: Route, other: Route): Boolean {
        if (one.path != other.path) return false
        // Only model requests name their target; a service route takes all requests on its path.
        val bothModels = one.target is Target.Model && other.target is Target.Model
        return !bothModels || one.target == other.target
    }
}
