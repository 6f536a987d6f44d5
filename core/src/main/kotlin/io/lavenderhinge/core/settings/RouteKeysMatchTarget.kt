package io.lavenderhinge.core.settings

/** Token targets apply to model routes only, and ledger keys to non-idempotent routes only. */
internal object RouteKeysMatchTarget : CrossCheck {
    private val tokenKeys = listOf(TeamSchema.firstToken, TeamSchema.betweenTokens)
    private val ledgerKeys = listOf(TeamSchema.retention, TeamSchema.untimedKeys)

    override fun faults(settings: TeamSettings, document: SettingsDocument): List<SettingsFault> =
        settings.routes.flatMap { route ->
            val section = document.named("route", route.name)
            val misplacedTokenKeys =
                if (route.target is Target.Model) emptyList()
                else misplaced(section, tokenKeys, "has no effect on a service route")
            val misplacedLedgerKeys =
                if (!route.idempotent) emptyList()
                else misplaced(section, ledgerKeys, "has no effect without idempotent = false")
            misplacedTokenKeys + misplacedLedgerKeys
        }

    private fun misplaced(section: SectionReader, keys: List<SettingKey<*>>, reason: String) =
        keys.filter(section::isSet).map {
            section.fault(FaultKind.CONTRADICTION, it, reason, "remove it")
        }
}
