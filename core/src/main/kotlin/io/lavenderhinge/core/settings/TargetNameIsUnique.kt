package io.lavenderhinge.core.settings

/** A model and a service have different names, because status lines show the name alone. */
internal object TargetNameIsUnique : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> {
        val models = document.all("model").map { it.name }
        return document
            .all("service")
            .filter { it.name in models }
            .map {
                it.fault(
                    FaultKind.NOT_UNIQUE,
                    TeamSchema.targetVersion,
                    "is set for a service with the same name as [model.${it.name}]",
                    "rename the service or the model",
                )
            }
    }
}
