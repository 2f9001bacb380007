package boragering.measurements

import boragering.core.AvailabilityZone
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.Incarnation
import boragering.core.InstanceId
import boragering.core.groups.Division
import boragering.core.groups.Group
import boragering.core.groups.ListedInstance
import boragering.core.groups.ListedState
import boragering.core.groups.Member
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Values of the size that production ones have. */
object Fixtures {
    /** The number of instances in one fabric domain of [fleet]. */
    const val DOMAIN_SIZE = 48
    private const val ZONES = 14
    private const val SUBNET = 250

    /** The clocks of this machine. */
    val clock = object : Clock {
        override fun wallMilliseconds(): Long = System.currentTimeMillis()
        override fun monotonic(): Duration = System.nanoTime().nanoseconds
    }

    /** The live list's entry of instance [number] in [domain]. */
    fun listed(number: Int, domain: FabricDomain) = ListedInstance(
        InstanceId("kotoba-gpu-$number"),
        address(number),
        "kotoba-gpu",
        domain,
        AvailabilityZone("zone-${number / DOMAIN_SIZE % ZONES}"),
        ListedState.LIVE,
    )

    /** A full division of [instances], which start at number [first], into groups of [groupSize]. */
    fun division(domain: FabricDomain, first: Int, instances: Int, groupSize: Int): Division = Division(
        domain,
        version = 1,
        groups = (first until first + instances).chunked(groupSize).filter { it.size == groupSize }
            .map { numbers -> group(domain, numbers) },
        catalogueRevision = 1,
    )

    /** Divisions of [instances] in domains of [DOMAIN_SIZE]. */
    fun fleet(instances: Int, groupSize: Int): Map<FabricDomain, Division> =
        (0 until instances step DOMAIN_SIZE).associate { first ->
            val domain = domain(first / DOMAIN_SIZE)
            domain to division(domain, first, minOf(DOMAIN_SIZE, instances - first), groupSize)
        }

    /** The name of domain [index]. */
    fun domain(index: Int) = FabricDomain("sapporo-rack-$index")

    /** The registration of daemon [number]. */
    fun registration(number: Int): Registration = Registration(
        DaemonId("entry-$number-5f0c1d2e"),
        address(number),
        address(number),
        address(number),
        AvailabilityZone("zone-${number % ZONES}"),
        "dounai",
    )

    /** A set of [count] live daemons. */
    fun peers(count: Int): Peers = object : Peers {
        override val live: PersistentList<Registration> =
            (0 until count).map(::registration).sortedBy { it.daemon.value }.toPersistentList()
        override val self: Registration = live.first()
    }

    private fun group(domain: FabricDomain, numbers: List<Int>) = Group(
        GroupId("kotoba-pool-$domain-${numbers.first()}"),
        EntryName("kotoba-pool"),
        "kotoba-8b",
        "3",
        Fence(1),
        numbers.map { Member(InstanceId("kotoba-gpu-$it"), Incarnation("5f0c1d2e-$it"), address(it)) },
        InstanceId("kotoba-gpu-${numbers.first()}"),
    )

    private fun address(number: Int) = "10.12.${number / SUBNET}.${number % SUBNET}:8000"
}
