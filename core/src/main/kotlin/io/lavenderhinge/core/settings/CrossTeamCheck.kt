package io.lavenderhinge.core.settings

/** Validation rules that span the settings of all teams. */
object CrossTeamCheck {
    /** Returns the faults of [teams]; [fileOf] returns the file name of a team. */
    fun faults(
        teams: List<TeamSettings>,
        fileOf: (team: String) -> String = { "config/$it" },
    ): List<SettingsFault> {
        val owners = HashMap<String, TeamSettings>()
        return teams.flatMap { team ->
            team.workspaces.mapNotNull { workspace ->
                val owner = owners.getOrPut(workspace.credential) { team }
                if (owner.team == team.team) null
                else duplicate(fileOf(team.team), workspace, owner.team)
            }
        }
    }

    // Callers send a credential but no team, so it must identify one workspace across all teams.
    private fun duplicate(file: String, workspace: Workspace, otherTeam: String) =
        SettingsFault(
            FaultKind.NOT_UNIQUE,
            file,
            "workspace.${workspace.id}",
            "credential",
            value = "",
            reason = "is also a credential of team $otherTeam",
            remedy = "give each workspace its own credential",
        )
}
