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
    private val kind = reader.required("kind", ValueReaders.choice(Kind.entries.associateBy { it.name.lowercase() }))
    private val routes = if (kind == Kind.MODEL) emptyList() else reader.children("routes")

    /** Reads the entry; returns `null` if parts of it are missing or invalid. */
    fun entry(): Entry? {
        rejectInapplicableKeys()
        val commonFields = commonFields()
        val entry = when (kind) {
            Kind.MODEL -> model(commonFields)
            Kind.SERVICE -> service(commonFields)
            null -> null
        }
        return entry?.also(::validateTimes)
    }

    /** Adds a finding for every key that no kind of entry has. */
    fun rejectUnknown() {
        (listOfNotNull(reader, requestClass, limits) + routes).forEach { it.rejectUnknown() }
    }

    private fun rejectInapplicableKeys() {
        if (kind == Kind.SERVICE) {
            MODEL_KEYS.filter { reader.has(it) }.forEach { reader.addFinding(it, "does not apply to a service") }
            MODEL_LIMIT_KEYS.filter { limits?.has(it) == true }
                .forEach { limits?.addFinding(it, "does not apply to a service") }
        }
        if (kind == null) {
            // An entry without a valid kind may be of either kind, so the keys of models are marked as requested too.
            MODEL_KEYS.forEach { reader.has(it) }
            MODEL_LIMIT_KEYS.forEach { limits?.has(it) }
        }
        if (kind == Kind.MODEL && reader.has("routes")) reader.addFinding("routes", "does not apply to a model")
    }

    private fun commonFields(): CommonFields? {
        val name = reader.required("name", CatalogueReader.nameReader)
        val owner = reader.required("owner", ValueReaders.text)
        val pool = reader.required("pool", ValueReaders.text)
        val retention = reader.optional("claimRetention", DEFAULT_RETENTION, ValueReaders.duration(RETENTION_RANGE))
        val requestClass = requestClass()
        val limits = limits()
        return nullable {
            CommonFields(
                EntryName(name.bind()),
                owner.bind(),
                pool.bind(),
                requestClass.bind(),
                limits.bind(),
                retention,
            )
        }
    }

    private fun requestClass(): RequestClass? = requestClass?.run {
        val urgency = required("urgency", ValueReaders.choice(Urgency.entries.associateBy { it.name.lowercase() }))
        val length = required("length", ValueReaders.choice(RequestLength.entries.associateBy { it.name.lowercase() }))
        val repeatable = required("repeatable", ValueReaders.boolean)
        nullable { RequestClass(urgency.bind(), length.bind(), repeatable.bind()) }
    }

    private fun limits(): RequestLimits? = limits?.run {
        val concurrency = required("concurrency", ValueReaders.integer(COUNT_RANGE))
        val length = required("queueLength", ValueReaders.integer(0..COUNT_RANGE.last))
        val queueTime = required("queueTime", ValueReaders.duration(TIME_RANGE))
        val deadline = required("deadline", ValueReaders.duration(TIME_RANGE))
        val rate = required("requestsPerSecond", ValueReaders.integer(COUNT_RANGE))
        val tokens = if (kind == Kind.MODEL) required("outputTokens", ValueReaders.integer(COUNT_RANGE)) else null
        nullable {
            RequestLimits(concurrency.bind(), length.bind(), queueTime.bind(), deadline.bind(), rate.bind(), tokens)
        }
    }

    private fun model(commonFields: CommonFields?): ModelEntry? {
        val model = reader.required("model", ValueReaders.text)
        val version = reader.required("modelVersion", ValueReaders.text)
        val enforces = reader.required("enforcesFencing", ValueReaders.boolean)
        val size = limits?.required("groupSize", ValueReaders.integer(1..MAXIMUM_GROUP_SIZE))
        val replicas = limits?.required("replicas", ValueReaders.integer(0..MAXIMUM_REPLICAS))
        return nullable {
            with(commonFields.bind()) {
                ModelEntry(
                    name, owner, pool, requestClass, limits, claimRetention,
                    model.bind(), version.bind(), size.bind(), replicas.bind(), enforces.bind(),
                )
            }
        }
    }

    private fun service(commonFields: CommonFields?): ServiceEntry? {
        if (routes.isEmpty()) reader.addFinding("routes", "is missing or empty", "at least one route")
        val read = routes.mapNotNull { routeReader -> route(routeReader)?.let { routeReader to it } }
        read.groupBy { it.second.pattern }.values.forEach { same ->
            same.drop(1)
                .forEach { it.first.addFinding("path", "duplicates an earlier route", "a route that no other matches") }
        }
        return commonFields?.run {
            val routes = read.map { it.second }.toPersistentList()
            ServiceEntry(name, owner, pool, requestClass, limits, claimRetention, routes)
        }
    }

    private fun route(reader: ObjectReader): Route? {
        val method = reader.required("method", ValueReaders.choice(METHODS.associateWith { it }))
        val path = reader.required("path", ValueReaders.text(PATH, PATH_DESCRIPTION))
        val repeatable = reader.required("repeatable", ValueReaders.boolean)
        return nullable { Route(method.bind(), path.bind(), repeatable.bind()) }
    }

    private fun validateTimes(entry: Entry) {
        val (queueTime, deadline) = entry.limits.queueTime to entry.limits.deadline
        if (queueTime > deadline) {
            limits?.addFinding("queueTime", "is longer than the deadline", "at most ${UnitFormat.text(deadline)}")
        }
        val minimumRetention = deadline * MINIMUM_RETENTION_FACTOR
        if (entry.claimRetention < minimumRetention) {
            val message = "is under $MINIMUM_RETENTION_FACTOR times the deadline (the default is 24h)"
            reader.addFinding("claimRetention", message, "at least ${UnitFormat.text(minimumRetention)}")
        }
    }

    private val Route.pattern get() = method to path.replace(PARAMETER, "{}")

    private enum class Kind { MODEL, SERVICE }

    private data class CommonFields(
        val name: EntryName,
        val owner: String,
        val pool: String,
        val requestClass: RequestClass,
        val limits: RequestLimits,
        val claimRetention: Duration,
    )

    companion object {
        /** How long claims are kept if the entry has no `claimRetention`. */
        val DEFAULT_RETENTION = 24.hours

        // A claim must be kept much longer than its request can run, so that a repeated request always finds it.
        private const val MINIMUM_RETENTION_FACTOR = 10
        private const val MAXIMUM_GROUP_SIZE = 1024
        private const val MAXIMUM_REPLICAS = 100_000
        private const val PATH_DESCRIPTION = "segments such as /orders/{id}, without a query"
        private val COUNT_RANGE = 1..1_000_000
        private val TIME_RANGE = 1.milliseconds..24.hours
        private val RETENTION_RANGE = 1.seconds..720.hours
        private val MODEL_KEYS = listOf("model", "modelVersion", "enforcesFencing")
        private val MODEL_LIMIT_KEYS = listOf("groupSize", "replicas", "outputTokens")
        private val METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
        private val PARAMETER = Regex("\\{[A-Za-z0-9_]+}")
        private val PATH = Regex("/|(/([A-Za-z0-9._~%:@!$&'()*+,;=-]+|\\{[A-Za-z0-9_]+}))+/?")
    }
}
