package io.lavenderhinge.core.settings

/** The target for the first token must not exceed the deadline of the complete response. */
internal object DeadlineCoversFirstToken : CrossCheck {
    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.routes
            .filter { it.target is Target.Model }
            .filter { it.deadlineMillis in 1 until it.firstTokenMillis }
            .map {
                document
                    .named("route", it.name)
                    .fault(
                        FaultKind.CONTRADICTION,
                        TeamSchema.deadline,
                        "is shorter than first-token",
                        "raise deadline or lower first-token",
                    )
            }
}
