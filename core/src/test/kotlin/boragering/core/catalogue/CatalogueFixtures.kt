package boragering.core.catalogue

import boragering.core.EntryName
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

internal fun catalogueOf(vararg entries: Entry) =
    Catalogue(1, persistentMapOf(), persistentMapOf<EntryName, Entry>().putAll(entries.associateBy { it.name }))

internal fun modelEntry(name: String = "m", size: Int = 2, replicas: Int = 2, version: String = "1") = ModelEntry(
    name = EntryName(name),
    owner = "owner",
    pool = "gpu",
    requestClass = RequestClass(Urgency.NORMAL, RequestLength.SHORT, true),
    limits = RequestLimits(8, 8, 2.seconds, 10.seconds, 8, null),
    claimRetention = 24.hours,
    model = "model-$name",
    modelVersion = version,
    groupSize = size,
    replicas = replicas,
    enforcesFencing = true,
)

internal fun serviceEntry(name: String = "s") = ServiceEntry(
    name = EntryName(name),
    owner = "owner",
    pool = "service",
    requestClass = RequestClass(Urgency.NORMAL, RequestLength.SHORT, true),
    limits = RequestLimits(8, 8, 2.seconds, 10.seconds, 8, null),
    claimRetention = 24.hours,
    routes = persistentListOf(),
)
