package io.lavenderhinge.core.settings

/** Rules over the settings of all teams. */
object CrossTeamCheck {
    /** Faults between [teams]; [fileOf] names the file of a team. */
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

    // Callers state a credential and no team, so it must name one workspace in the whole tree.
    private fun duplicate(file: String, workspace: Workspace, otherTeam: String) =
        SettingsFault(
            FaultKind.NOT_UNIQUE,
            file,
            "workspace.${workspace.id}",
            "credential",
            value = "",
            reason = "is a credential of team $otherTeam too",
            remedy = "give each workspace its own credential",
        )
}
