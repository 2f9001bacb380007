package boragering.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.nullable
import arrow.core.right
import boragering.core.AvailabilityZone
import boragering.core.Finding
import boragering.core.catalogue.ObjectReader
import boragering.core.catalogue.ValueReader
import boragering.core.catalogue.ValueReaders
import boragering.core.groups.HealthSettings
import boragering.core.requests.ReplicaSelection
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Parses and validates the daemon's settings. All findings are reported together. */
object SettingsReader {
    private const val MAXIMUM_PORT = 65_535
    private const val MAXIMUM_BODY_BYTES = 64L * 1024 * 1024
    private const val DEFAULT_BODY_BYTES = 1024L * 1024
    private const val MAXIMUM_REQUESTS = 100_000
    private const val DEFAULT_REQUESTS = 4_096
    private const val MAXIMUM_HOLDERS = 100
    private const val DEFAULT_HOLDERS = HealthSettings.DEFAULT_HOLDERS
    private const val MAXIMUM_LOADS = 1_000
    private const val DEFAULT_LOADS = 4
    private val DEFAULT_STORE_TIMEOUT = 2.seconds
    private val DEFAULT_DRAIN_TIME = 5.minutes
    private val DEFAULT_POLL_INTERVAL = 1.seconds
    private val POLL_INTERVALS = 100.milliseconds..1.seconds
    private val STORE_TIMEOUTS = 100.milliseconds..30.seconds
    private val DRAIN_TIMES = 1.seconds..60.minutes
    private val SELECTIONS: Map<String, ReplicaSelection> =
        mapOf(
            "random" to ReplicaSelection.UniformRandom,
            "round-robin" to ReplicaSelection.RoundRobin,
            "least-in-flight" to ReplicaSelection.LeastInFlight,
            "power-of-two" to ReplicaSelection.PowerOfTwoChoices,
        )

    /** Parses [text] and returns the settings, or all findings when the text is invalid. */
    fun read(text: String): Either<List<Finding>, Settings> = ObjectReader.parse(text, ::settings)

    private fun settings(root: ObjectReader): Settings? {
        val name = root.required("name", ValueReaders.text)
        val zone = root.required("availabilityZone", ValueReaders.text)
        val region = root.required("region", ValueReaders.text)
        val listen = root.child("listen")?.let(::addresses)
        val advertise = if (root.has("advertise")) root.child("advertise")?.let { advertised(it, listen) } else listen
        val platform = root.child("platform")?.let(::platform)
        val peers = root.child("peers")
        val seeds = peers?.optional("seeds", emptyList<SocketAddress>().toPersistentList(), addressList)
        val peerSecret = peers?.let(::secret)
        val operatorToken = root.child("operators")?.let(::secretSection)
        peers?.rejectUnknown()
        val limits = limits(if (root.has("limits")) root.child("limits") else null)
        val groups = groups(if (root.has("groups")) root.child("groups") else null)
        val requests = requests(if (root.has("requests")) root.child("requests") else null)
        root.rejectUnknown()
        return nullable {
            Settings(
                name = name.bind(),
                availabilityZone = AvailabilityZone(zone.bind()),
                region = region.bind(),
                listen = listen.bind(),
                advertise = advertise.bind(),
                platform = platform.bind(),
                seeds = seeds.bind(),
                peerSecret = peerSecret.bind(),
                operatorToken = operatorToken.bind(),
                limits = limits,
                groups = groups,
                requests = requests,
            )
        }
    }

    private fun addresses(reader: ObjectReader): Addresses? {
        val callers = reader.required("callers", address)
        val operators = reader.required("operators", address)
        val peers = reader.required("peers", address)
        reader.rejectUnknown()
        return nullable { Addresses(callers.bind(), operators.bind(), peers.bind()) }
    }

    private fun advertised(reader: ObjectReader, listen: Addresses?): Addresses? {
        val callers = reader.optional("callers", listen?.callers, address)
        val operators = reader.optional("operators", listen?.operators, address)
        val peers = reader.optional("peers", listen?.peers, address)
        reader.rejectUnknown()
        return nullable { Addresses(callers.bind(), operators.bind(), peers.bind()) }
    }

    private fun platform(reader: ObjectReader): PlatformSettings? {
        val store = reader.required("store", baseUrl)
        val liveList = reader.required("liveList", baseUrl)
        val timeout = reader.optional("timeout", DEFAULT_STORE_TIMEOUT, ValueReaders.duration(STORE_TIMEOUTS))
        reader.rejectUnknown()
        return nullable { PlatformSettings(store.bind(), liveList.bind(), timeout) }
    }

    private fun limits(reader: ObjectReader?): LimitSettings {
        val body = reader?.optional("requestBody", DEFAULT_BODY_BYTES, ValueReaders.size) ?: DEFAULT_BODY_BYTES
        if (body !in 1..MAXIMUM_BODY_BYTES) reader?.addFinding("requestBody", "is out of range", "from 1B to 64MiB")
        val requests =
            reader?.optional("concurrentRequests", DEFAULT_REQUESTS, ValueReaders.integer(1..MAXIMUM_REQUESTS))
        val drain = reader?.optional("drainTime", DEFAULT_DRAIN_TIME, ValueReaders.duration(DRAIN_TIMES))
        reader?.rejectUnknown()
        return LimitSettings(body, requests ?: DEFAULT_REQUESTS, drain ?: DEFAULT_DRAIN_TIME)
    }

    private fun groups(reader: ObjectReader?): GroupSettings {
        val interval = reader?.optional("pollInterval", DEFAULT_POLL_INTERVAL, ValueReaders.duration(POLL_INTERVALS))
        val holders = reader?.optional("holdersPerGroup", DEFAULT_HOLDERS, ValueReaders.integer(1..MAXIMUM_HOLDERS))
        val loads = reader?.optional("loadsAtOnce", DEFAULT_LOADS, ValueReaders.integer(1..MAXIMUM_LOADS))
        reader?.rejectUnknown()
        return GroupSettings(interval ?: DEFAULT_POLL_INTERVAL, holders ?: DEFAULT_HOLDERS, loads ?: DEFAULT_LOADS)
    }

    private fun requests(reader: ObjectReader?): RequestSettings {
        val default: ReplicaSelection = ReplicaSelection.PowerOfTwoChoices
        val selection = reader?.optional("selection", default, ValueReaders.choice(SELECTIONS))
        reader?.rejectUnknown()
        return RequestSettings(selection ?: default)
    }

    private fun secretSection(reader: ObjectReader): SecretReference? = secret(reader).also { reader.rejectUnknown() }

    private fun secret(reader: ObjectReader): SecretReference? {
        val file = reader.optional<String?>("secretFile", null, ValueReaders.text)
        val variable = reader.optional<String?>("secretVariable", null, ValueReaders.text)
        return when {
            file != null && variable == null -> SecretReference.File(file)
            file == null && variable != null -> SecretReference.Variable(variable)
            else -> {
                reader.addFinding("secretFile", "must be given, or else secretVariable", "exactly one of the two")
                null
            }
        }
    }

    private val address: ValueReader<SocketAddress> = { element ->
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content.orEmpty()
        val port = text.substringAfterLast(':', "").toIntOrNull()
        val host = text.substringBeforeLast(':', "")
        if (host.isNotBlank() && port != null && port in 1..MAXIMUM_PORT) {
            SocketAddress(host, port).right()
        } else {
            "an address with a port, for example \"10.0.0.5:8080\"".left()
        }
    }

    private val addressList: ValueReader<PersistentList<SocketAddress>> = { element ->
        val parsed = (element as? JsonArray)?.map { address(it).getOrNull() }
        if (parsed == null || null in parsed) {
            "a list of addresses with ports, for example [\"10.0.0.5:8082\"]".left()
        } else {
            parsed.filterNotNull().toPersistentList().right()
        }
    }

    private val baseUrl: ValueReader<String> =
        ValueReaders.text(Regex("https?://[^/\\s]+"), "a base URL without a path")
}
