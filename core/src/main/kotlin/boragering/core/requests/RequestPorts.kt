package boragering.core.requests

import boragering.core.Clock
import boragering.core.RequestMetrics
import boragering.core.Store
import boragering.core.TargetClient
import boragering.core.TargetDirectory
import boragering.core.catalogue.CatalogueSource
import boragering.core.membership.Peers
import boragering.core.timeline.Timeline
import kotlin.random.Random

/**
 * The interfaces through which request handling uses the rest of the daemon. [random] is only accessed under a lock.
 */
data class RequestPorts(
    val store: Store,
    val calls: TargetClient,
    val directory: TargetDirectory,
    val catalogue: CatalogueSource,
    val peers: Peers,
    val clock: Clock,
    val random: Random,
    val timeline: Timeline,
    val metrics: RequestMetrics = RequestMetrics.None,
)
