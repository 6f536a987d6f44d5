package io.lavenderhinge.core.settings

/** A credential identifies one workspace. */
internal object CredentialIsUnique : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.workspaces.mapIndexedNotNull { index, workspace ->
            val earlier =
                settings.workspaces.take(index).firstOrNull {
                    it.credential == workspace.credential
                }
            earlier?.let {
                document
                    .named("workspace", workspace.id)
                    .fault(
                        FaultKind.NOT_UNIQUE,
                        TeamSchema.credential,
                        "is also the credential of [workspace.${it.id}]",
                        "give each workspace its own credential",
                    )
            }
        }
}
