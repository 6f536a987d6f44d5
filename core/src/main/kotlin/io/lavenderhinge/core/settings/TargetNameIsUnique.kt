package io.lavenderhinge.core.settings

/** A name stands for a model or a service, not both, because status lines show the name alone. */
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
                    "belongs to a service with the name of [model.${it.name}]",
                    "rename the service or the model",
                )
            }
    }
}
