package boragering.measurements

import boragering.core.EntryName
import boragering.core.OrganisationName
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.Entry
import boragering.core.catalogue.ModelEntry
import boragering.core.catalogue.Organisation
import boragering.core.catalogue.RequestClass
import boragering.core.catalogue.RequestLength
import boragering.core.catalogue.RequestLimits
import boragering.core.catalogue.Route
import boragering.core.catalogue.ServiceEntry
import boragering.core.catalogue.Urgency
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Catalogues whose limits never refuse a request. */
object CatalogueFixtures {
    private const val TOKEN_HASH_LENGTH = 64

    /** An entry of model groups. */
    fun model(name: String, groupSize: Int, replicas: Int) = ModelEntry(
        name = EntryName(name),
        owner = "kitaspike-models",
        pool = "kotoba-gpu",
        requestClass = RequestClass(Urgency.URGENT, RequestLength.MIXED, repeatable = true),
        limits = limits(),
        claimRetention = 24.hours,
        model = "kotoba-8b",
        modelVersion = "3",
        groupSize = groupSize,
        replicas = replicas,
        enforcesFencing = true,
    )

    /** An entry of a plain service with one route that must not be repeated. */
    fun service() = ServiceEntry(
        name = EntryName("orders-app"),
        owner = "kitaspike-orders",
        pool = "orders-app",
        requestClass = RequestClass(Urgency.NORMAL, RequestLength.SHORT, repeatable = false),
        limits = limits(),
        claimRetention = 24.hours,
        routes = persistentListOf(Route("POST", "/orders", repeatable = false)),
    )

    /** A catalogue of [entries] with one organisation. */
    fun catalogue(entries: List<Entry>, revision: Long = 1): Catalogue {
        val name = OrganisationName("sapporo-roofing")
        val organisation = Organisation(name, "sha256:" + "9".repeat(TOKEN_HASH_LENGTH), weight = 1)
        return Catalogue(
            revision,
            persistentHashMapOf(name to organisation),
            persistentHashMapOf<EntryName, Entry>().putAll(entries.associateBy { it.name }),
        )
    }

    private fun limits() = RequestLimits(
        concurrency = 1_000_000,
        queueLength = 1_000_000,
        queueTime = 3_600.seconds,
        deadline = 3_600.seconds,
        requestsPerSecond = 1_000_000,
        outputTokens = 2_048,
    )
}
