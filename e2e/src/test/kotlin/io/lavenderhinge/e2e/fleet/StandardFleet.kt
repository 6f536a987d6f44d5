package io.lavenderhinge.e2e.fleet

import io.lavenderhinge.adapters.Json
import io.lavenderhinge.core.port.MemberKind
import io.lavenderhinge.http.HttpField
import io.lavenderhinge.http.HttpResponse
import java.nio.file.Files

/** Default settings of the team that [standardFleet] serves. */
val STANDARD_SETTINGS =
    """
    [team]
    name = caprock

    [workspace.counter]
    weight = 4
    credential = counter-key

    [workspace.office]
    weight = 1
    credential = office-key

    [model.drafting]
    version = 7

    [service.booking]
    version = 3

    [route.draft]
    path = /v1/chat/completions
    model = drafting
    tier = interactive
    deadline = 30s

    [route.lookup]
    path = /booking
    service = booking
    tier = interactive
    deadline = 5s

    [route.book]
    path = /booking/reserve
    service = booking
    tier = interactive
    idempotent = false
    retention = 10m
    deadline = 10s
    """
        .trimIndent()

/**
 * Starts three instances in two failure domains, with two engines and two booking services behind
 * them.
 */
suspend fun standardFleet(
    settings: String = STANDARD_SETTINGS,
    configure: Fleet.() -> Unit = {},
): Fleet {
    val fleet = Fleet(Files.createTempDirectory("lavenderhinge-e2e"))
    fleet.startServer(
        MemberKind.MODEL_ENGINE,
        "engine-a",
        "a",
        "drafting",
        "7",
        "--step-millis",
        "2",
    )
    fleet.startServer(
        MemberKind.MODEL_ENGINE,
        "engine-b",
        "b",
        "drafting",
        "7",
        "--step-millis",
        "2",
    )
    fleet.startServer(MemberKind.PLAIN_SERVICE, "booking-a", "a", "booking", "3")
    fleet.startServer(MemberKind.PLAIN_SERVICE, "booking-b", "b", "booking", "3")
    fleet.addInstance("one", "a")
    fleet.addInstance("two", "a")
    fleet.addInstance("three", "b")
    fleet.configure()
    fleet.start(mapOf("caprock" to settings))
    return fleet
}

/** Returns an `Authorization` header with the credential of a workspace. */
fun bearerToken(credential: String) = HttpField("Authorization", "Bearer $credential")

/** Returns the tokens of a response; for a truncated stream, those before the end. */
fun outputTokens(response: HttpResponse, streamed: Boolean): List<String> {
    val text =
        if (streamed) {
            String(response.body)
                .lines()
                .filter { it.startsWith("data: {") }
                .joinToString("") { line ->
                    val data = Json.mapper.readTree(line.removePrefix("data: "))
                    data.path("choices").path(0).path("delta").path("content").asText()
                }
        } else {
            val data = Json.mapper.readTree(response.body)
            data.path("choices").path(0).path("message").path("content").asText()
        }
    return text.split(' ').filter { it.isNotEmpty() }
}
