package boragering.core.catalogue

import boragering.core.EntryName
import boragering.core.OrganisationName
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration

/** A validated catalogue at one revision. */
data class Catalogue(
    val revision: Long,
    val organisations: PersistentMap<OrganisationName, Organisation>,
    val entries: PersistentMap<EntryName, Entry>,
)

/** An organisation that may send requests. [tokenHash] is `sha256:` and 64 hexadecimal digits. */
data class Organisation(val name: OrganisationName, val tokenHash: String, val weight: Int)

/** One entry: a model that groups serve, or a plain service. */
sealed interface Entry {
    /** Unique name, used by callers. */
    val name: EntryName

    /** The team responsible for the entry. */
    val owner: String

    /** The pool of instances in the live list that serves the entry. */
    val pool: String

    /** Urgency, length and repeatability of the entry's requests. */
    val requestClass: RequestClass

    /** Limits on the entry's requests. */
    val limits: RequestLimits

    /** How long claims of the entry's non-repeatable requests are kept. */
    val claimRetention: Duration
}

/** An entry served by groups of engines. */
data class ModelEntry(
    override val name: EntryName,
    override val owner: String,
    override val pool: String,
    override val requestClass: RequestClass,
    override val limits: RequestLimits,
    override val claimRetention: Duration,
    val model: String,
    val modelVersion: String,
    val groupSize: Int,
    val replicas: Int,
    val enforcesFencing: Boolean,
) : Entry

/** An entry served by single instances of a plain service. */
data class ServiceEntry(
    override val name: EntryName,
    override val owner: String,
    override val pool: String,
    override val requestClass: RequestClass,
    override val limits: RequestLimits,
    override val claimRetention: Duration,
    val routes: PersistentList<Route>,
) : Entry

/** A declared route of a plain service; [path] may contain `{name}` segments, each of which matches any one segment. */
data class Route(val method: String, val path: String, val repeatable: Boolean)

/** The class of an entry's requests. */
data class RequestClass(val urgency: Urgency, val length: RequestLength, val repeatable: Boolean)

/** How urgent requests are; later values are served first. */
enum class Urgency { BATCH, NORMAL, URGENT }

/** The expected duration of requests, as stated by the entry's owner. */
enum class RequestLength { SHORT, MIXED, LONG }

/**
 * Limits on an entry's requests. [concurrency] and [queueLength] count requests in the whole system;
 * [requestsPerSecond] applies to each organisation; [outputTokens] is `null` for plain services.
 */
data class RequestLimits(
    val concurrency: Int,
    val queueLength: Int,
    val queueTime: Duration,
    val deadline: Duration,
    val requestsPerSecond: Int,
    val outputTokens: Int?,
)
