package boragering.core.catalogue

import arrow.core.raise.nullable
import boragering.core.EntryName
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads one entry of the operators' document. */
internal class EntryReader(private val reader: ObjectReader) {
    private val requestClass = reader.child("class")
    private val limits = reader.child("limits")
    private val kind = reader.required("kind", Values.choice(Kind.entries.associateBy { it.name.lowercase() }))
    private val routes = if (kind == Kind.MODEL) emptyList() else reader.children("routes")

    /** The entry, `null` when parts of it are missing or wrong. */
    fun entry(): Entry? {
        rejectForeign()
        val common = common()
        val entry = when (kind) {
            Kind.MODEL -> model(common)
            Kind.SERVICE -> service(common)
            null -> null
        }
        return entry?.also(::checkTimes)
    }

    /** Reports the keys that no kind of entry has. */
    fun rejectUnknown() {
        (listOfNotNull(reader, requestClass, limits) + routes).forEach { it.rejectUnknown() }
    }

    private fun rejectForeign() {
        if (kind == Kind.SERVICE) {
            ENTRY_KEYS.filter { reader.has(it) }.forEach { reader.fault(it, "does not apply to a service") }
            LIMIT_KEYS.filter { limits?.has(it) == true }.forEach { limits?.fault(it, "does not apply to a service") }
        }
        if (kind == null) {
            // Without a kind it is open which keys belong to the entry, so none of either kind is reported.
            ENTRY_KEYS.forEach { reader.has(it) }
            LIMIT_KEYS.forEach { limits?.has(it) }
        }
        if (kind == Kind.MODEL && reader.has("routes")) reader.fault("routes", "does not apply to a model")
    }

    private fun common(): Common? {
        val name = reader.required("name", CatalogueReader.name)
        val owner = reader.required("owner", Values.text)
        val pool = reader.required("pool", Values.text)
        val retention = reader.optional("claimRetention", DEFAULT_RETENTION, Values.duration(RETENTIONS))
        val requestClass = requestClass()
        val limits = limits()
        return nullable {
            Common(EntryName(name.bind()), owner.bind(), pool.bind(), requestClass.bind(), limits.bind(), retention)
        }
    }

    private fun requestClass(): RequestClass? = requestClass?.run {
        val urgency = required("urgency", Values.choice(Urgency.entries.associateBy { it.name.lowercase() }))
        val length = required("length", Values.choice(RequestLength.entries.associateBy { it.name.lowercase() }))
        val repeatable = required("repeatable", Values.flag)
        nullable { RequestClass(urgency.bind(), length.bind(), repeatable.bind()) }
    }

    private fun limits(): RequestLimits? = limits?.run {
        val concurrency = required("concurrency", Values.integer(COUNTS))
        val length = required("queueLength", Values.integer(0..COUNTS.last))
        val queueTime = required("queueTime", Values.duration(TIMES))
        val deadline = required("deadline", Values.duration(TIMES))
        val rate = required("requestsPerSecond", Values.integer(COUNTS))
        val tokens = if (kind == Kind.MODEL) required("outputTokens", Values.integer(COUNTS)) else null
        nullable {
            RequestLimits(concurrency.bind(), length.bind(), queueTime.bind(), deadline.bind(), rate.bind(), tokens)
        }
    }

    private fun model(common: Common?): ModelEntry? {
        val model = reader.required("model", Values.text)
        val version = reader.required("modelVersion", Values.text)
        val enforces = reader.required("enforcesFencing", Values.flag)
        val size = limits?.required("groupSize", Values.integer(1..MAXIMUM_GROUP_SIZE))
        val replicas = limits?.required("replicas", Values.integer(0..MAXIMUM_REPLICAS))
        return nullable {
            with(common.bind()) {
                ModelEntry(
                    name, owner, pool, requestClass, limits, claimRetention,
                    model.bind(), version.bind(), size.bind(), replicas.bind(), enforces.bind(),
                )
            }
        }
    }

    private fun service(common: Common?): ServiceEntry? {
        if (routes.isEmpty()) reader.fault("routes", "is missing or empty", "at least one route")
        val read = routes.mapNotNull { place -> route(place)?.let { place to it } }
        read.groupBy { it.second.shape }.values.forEach { same ->
            same.drop(1).forEach { it.first.fault("path", "repeats an earlier route", "a route that no other matches") }
        }
        return common?.run {
            val routes = read.map { it.second }.toPersistentList()
            ServiceEntry(name, owner, pool, requestClass, limits, claimRetention, routes)
        }
    }

    private fun route(reader: ObjectReader): Route? {
        val method = reader.required("method", Values.choice(METHODS.associateWith { it }))
        val path = reader.required("path", Values.text(PATH, PATH_FORM))
        val repeatable = reader.required("repeatable", Values.flag)
        return nullable { Route(method.bind(), path.bind(), repeatable.bind()) }
    }

    private fun checkTimes(entry: Entry) {
        val (queueTime, deadline) = entry.limits.queueTime to entry.limits.deadline
        if (queueTime > deadline) {
            limits?.fault("queueTime", "is longer than the deadline", "at most ${UnitReader.text(deadline)}")
        }
        val least = deadline * RETENTION_FACTOR
        if (entry.claimRetention < least) {
            val message = "is under $RETENTION_FACTOR times the deadline (without a value it is 24h)"
            reader.fault("claimRetention", message, "at least ${UnitReader.text(least)}")
        }
    }

    private val Route.shape get() = method to path.replace(PARAMETER, "{}")

    private enum class Kind { MODEL, SERVICE }

    private data class Common(
        val name: EntryName,
        val owner: String,
        val pool: String,
        val requestClass: RequestClass,
        val limits: RequestLimits,
        val claimRetention: Duration,
    )

    companion object {
        /** How long claims are kept when the entry does not say. */
        val DEFAULT_RETENTION = 24.hours

        // A claim must outlive its request by far, so that a repeated request always meets it.
        private const val RETENTION_FACTOR = 10
        private const val MAXIMUM_GROUP_SIZE = 1024
        private const val MAXIMUM_REPLICAS = 100_000
        private const val PATH_FORM = "segments such as /orders/{id}, without a query"
        private val COUNTS = 1..1_000_000
        private val TIMES = 1.milliseconds..24.hours
        private val RETENTIONS = 1.seconds..720.hours
        private val ENTRY_KEYS = listOf("model", "modelVersion", "enforcesFencing")
        private val LIMIT_KEYS = listOf("groupSize", "replicas", "outputTokens")
        private val METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
        private val PARAMETER = Regex("\\{[A-Za-z0-9_]+}")
        private val PATH = Regex("/|(/([A-Za-z0-9._~%:@!$&'()*+,;=-]+|\\{[A-Za-z0-9_]+}))+/?")
    }
}
