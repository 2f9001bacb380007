package boragering.scenarios

import boragering.core.catalogue.ApplyAnswer
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.CatalogueAnswer
import boragering.core.groups.GroupsAnswer
import boragering.core.operators.PeersAnswer
import boragering.core.operators.StatusAnswer
import boragering.core.operators.TimelineAnswer
import java.io.IOException

/** A daemon's port for operators at [address]. */
class OperatorPort internal constructor(
    private val client: ControlClient,
    /** `host:port`. */
    val address: String,
    private val token: String,
) {
    /** The daemon's view of the system. */
    suspend fun status(): StatusAnswer = read("status")

    /** The groups as the daemon knows them. */
    suspend fun groups(): GroupsAnswer = read("groups")

    /** The events that the daemon holds. */
    suspend fun timeline(): TimelineAnswer = read("timeline")

    /** The daemons that the daemon holds to be live. */
    suspend fun peers(): PeersAnswer = read("peers")

    /** The catalogue in force on the daemon. */
    suspend fun catalogue(): CatalogueAnswer = read("catalogue")

    /** The metrics in their text format. */
    suspend fun metrics(): String = client.success(client.get(address, "/metrics")).body

    /** Submits a change of the catalogue; the result says what became of it. */
    suspend fun apply(request: ApplyRequest): ApplyAnswer {
        val response = client.post(address, "/operator/catalogue", request, token)
        return try {
            scenarioJson.decodeFromString(response.body)
        } catch (foreign: IllegalArgumentException) {
            throw IOException("$address: status ${response.status}: ${response.body}", foreign)
        }
    }

    private suspend inline fun <reified T> read(path: String): T =
        client.read(address, "/operator/$path", token)
}
