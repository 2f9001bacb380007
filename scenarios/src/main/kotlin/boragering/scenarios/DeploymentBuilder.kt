package boragering.scenarios

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration

/** Marks the builders of deployments. */
@DslMarker
annotation class DeploymentDsl

/** Describes a deployment. */
fun deployment(describe: DeploymentBuilder.() -> Unit): DeploymentPlan = DeploymentBuilder().apply(describe).build()

/** Builds a [DeploymentPlan]. The store and the live list are part of every deployment. */
@DeploymentDsl
class DeploymentBuilder internal constructor() {
    private val organisations = mutableListOf<String>()
    private val entries = mutableListOf<EntryDocument>()
    private val pools = mutableListOf<InstancePool>()
    private val daemons = mutableListOf<DaemonPlan>()

    /** The region of all daemons. */
    var region: String = "dounai"

    /** The lag of the live list. */
    var liveListLag: Duration = Duration.ZERO

    /** Adds an organisation with a token of its own. */
    fun organisation(name: String) {
        organisations += name
    }

    /** Adds an entry to the first catalogue. */
    fun entry(entry: EntryDocument) {
        entries += entry
    }

    /** Adds engines of one pool in one fabric domain. */
    fun engines(pool: String, domain: String, count: Int, describe: PoolBuilder.() -> Unit = {}) {
        pools += PoolBuilder().apply(describe).build(InstanceKind.ENGINE, pool, domain, count)
    }

    /** Adds instances of a plain service; unless told otherwise, they share one process and one book of orders. */
    fun services(pool: String, domain: String, count: Int, describe: PoolBuilder.() -> Unit = {}) {
        val builder = PoolBuilder().apply { sharedProcess = true }
        pools += builder.apply(describe).build(InstanceKind.SERVICE, pool, domain, count)
    }

    /** Adds a daemon. */
    fun daemon(name: String, availabilityZone: String, describe: DaemonBuilder.() -> Unit = {}) {
        daemons += DaemonBuilder().apply(describe).build(name, availabilityZone)
    }

    internal fun build() = DeploymentPlan(
        region,
        liveListLag,
        organisations.toPersistentList(),
        entries.toPersistentList(),
        pools.toPersistentList(),
        daemons.toPersistentList(),
    )
}

/** Builds an [InstancePool]. */
@DeploymentDsl
class PoolBuilder internal constructor() {
    private val options = mutableMapOf<String, String>()

    /** The zone of the instances. */
    var availabilityZone: String = "sapporo"

    /** Whether all instances run in one process. */
    var sharedProcess: Boolean = false

    /** Whether daemons reach the instances through links of a proxy. */
    var proxied: Boolean = false

    /** Sets the stand-in's option `--name`. */
    fun option(name: String, value: Any) {
        options[name] = "$value"
    }

    internal fun build(kind: InstanceKind, pool: String, domain: String, count: Int) = InstancePool(
        kind,
        pool,
        domain,
        availabilityZone,
        count,
        sharedProcess,
        proxied,
        options.toPersistentMap(),
    )
}

/** Builds a [DaemonPlan]. */
@DeploymentDsl
class DaemonBuilder internal constructor() {
    private var adaptation: DaemonSettings.() -> DaemonSettings = { this }

    /** Whether the daemon reaches the store and the live list through links of a proxy. */
    var proxiedPlatform: Boolean = false

    /** Changes the settings that the driver writes. */
    fun settings(adapt: DaemonSettings.() -> DaemonSettings) {
        adaptation = adapt
    }

    internal fun build(name: String, availabilityZone: String) =
        DaemonPlan(name, availabilityZone, proxiedPlatform, adaptation)
}
