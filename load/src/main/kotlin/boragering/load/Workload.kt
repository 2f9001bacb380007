package boragering.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.time.Duration

/** What a load run does; [scale] states how the deployment compares with the real one. */
@Serializable
data class Workload(
    val name: String,
    val description: String,
    val scale: String,
    val seed: Int,
    val deployment: ServedModel,
    val organisations: List<OrganisationShare>,
    val requests: RequestMix,
    val phases: List<Phase>,
) {
    /** Requests per second that the slots can answer with this mix. */
    val capacity: Double
        get() {
            val shortTime = deployment.serviceSeconds(requests.shortTokens)
            val longTime = deployment.serviceSeconds(requests.longTokens)
            val mean = shortTime * (1 - requests.longShare) + longTime * requests.longShare
            return deployment.replicas * deployment.slots / mean
        }

    /** Fails with the first fault of the file. */
    fun check() {
        require(organisations.isNotEmpty() && organisations.all { it.share > 0 }) { "organisations: shares from 1" }
        require(phases.isNotEmpty() && phases.any { it.measured }) { "phases: at least one must be measured" }
        require(phases.all { it.seconds > 0 && it.from >= 0 && it.to >= 0 }) { "phases: seconds and rates from 0" }
        require(requests.longShare in 0.0..1.0) { "requests.longShare: from 0 to 1" }
    }

    companion object {
        /** Reads [file]; unknown keys and missing ones are errors. */
        fun read(file: Path): Workload = Json.decodeFromString<Workload>(file.readText()).also { it.check() }
    }
}

/** The model's entry, its replicas and their speed; durations have units. There is one daemon in each zone. */
@Serializable
data class ServedModel(
    val entry: String,
    val pool: String,
    val region: String,
    val zones: List<String>,
    val replicas: Int,
    val groupSize: Int,
    val slots: Int,
    val firstTokenTime: String,
    val tokenTime: String,
    val reportLag: String,
    val queueTime: String,
) {
    /** The time that an answer of [tokens] occupies a slot. */
    fun serviceSeconds(tokens: Int): Double = seconds(firstTokenTime) + seconds(tokenTime) * (tokens - 1)

    private fun seconds(text: String): Double = Duration.parse(text) / ONE_SECOND

    private companion object {
        val ONE_SECOND = Duration.parse("1s")
    }
}

/** An organisation and its relative part of the requests. */
@Serializable
data class OrganisationShare(val name: String, val share: Int)

/** Lengths, urgency and prompts of the requests. Shares are from 0 to 1. */
@Serializable
data class RequestMix(
    val shortTokens: Int,
    val longShare: Double,
    val longFactor: Int,
    val urgentShare: Double,
    val sharedPrefixes: Int,
    val prefixShare: Double,
    val prefixCharacters: Int,
) {
    /** Tokens of a long answer. */
    val longTokens: Int get() = shortTokens * longFactor
}

/** A stretch of the run whose rate goes from [from] to [to], both parts of the workload's capacity. */
@Serializable
data class Phase(val seconds: Double, val from: Double, val to: Double, val measured: Boolean = false)
