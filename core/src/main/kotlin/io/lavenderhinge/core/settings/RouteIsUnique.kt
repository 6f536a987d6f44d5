package io.lavenderhinge.core.settings

/** A request matches one route: no two share path and model, or a path that a service answers. */
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
                        "is the path of [route.${it.name}] with the same target",
                        "change the path or remove one of the two routes",
                    )
            }
        }

    private fun overlaps(one: Route, other: Route): Boolean {
        if (one.path != other.path) return false
        // Only model requests name what they want; a service answers its whole path.
        val bothModels = one.target is Target.Model && other.target is Target.Model
        return !bothModels || one.target == other.target
    }
}
