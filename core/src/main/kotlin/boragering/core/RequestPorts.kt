package boragering.core

import kotlin.random.Random

/** What serving requests needs from the rest of the daemon. [random] is used under a lock. */
data class RequestPorts(
    val store: Store,
    val calls: TargetCalls,
    val directory: TargetDirectory,
    val catalogue: CatalogueSource,
    val peers: Peers,
    val clock: Clock,
    val random: Random,
    val timeline: Timeline,
    val metrics: RequestMetrics = RequestMetrics.None,
)
