package boragering.scenarios

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration

/** What a deployment consists of; built by [deployment]. */
data class DeploymentPlan(
    val region: String,
    val liveListLag: Duration,
    val organisations: PersistentList<String>,
    val entries: PersistentList<EntryDocument>,
    val pools: PersistentList<InstancePool>,
    val daemons: PersistentList<DaemonPlan>,
)

/** Kinds of instances. */
enum class InstanceKind(internal val commandName: String) {
    /** An inference engine. */
    ENGINE("engine"),

    /** An instance of a plain service. */
    SERVICE("service"),
}

/**
 * Instances of one pool in one fabric domain. [options] are those of the stand-in, without the leading `--`. With
 * [sharedProcess] all instances run in one process; they can then be made unreachable, but not killed one by one.
 * With [proxied] the live list names the address of a proxy's link.
 */
data class InstancePool(
    val kind: InstanceKind,
    val pool: String,
    val domain: String,
    val availabilityZone: String,
    val count: Int,
    val sharedProcess: Boolean,
    val proxied: Boolean,
    val options: PersistentMap<String, String>,
) {
    /** The id of the instance at [index]; unique in a deployment with one pool of a name in each domain. */
    internal fun instanceId(index: Int): String = "$domain-$pool-$index"
}

/**
 * One daemon. With [proxiedPlatform] it reaches the store and the live list through links of a proxy. [adapt] changes
 * the settings that the driver writes.
 */
data class DaemonPlan(
    val name: String,
    val availabilityZone: String,
    val proxiedPlatform: Boolean,
    val adapt: DaemonSettings.() -> DaemonSettings,
)
