package boragering.measurements

import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.GroupId
import boragering.core.InstancePhase
import boragering.core.InstanceReport
import boragering.core.catalogue.Catalogue
import boragering.core.groups.Division
import boragering.core.groups.DivisionDocument
import boragering.core.groups.FleetInventory
import boragering.core.groups.InstanceObservation
import boragering.core.groups.ListedInstance
import boragering.core.groups.PlanningInput
import boragering.core.groups.PlanningSettings
import boragering.core.groups.ReplicaDistribution
import boragering.core.groups.plan
import boragering.core.membership.holders
import boragering.core.timeline.HybridTime
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Planning of one domain and of the fleet while nothing changes, and the size of its inputs. */
class PlanningMeasurement : Measurement {
    override fun run(probe: Probe): List<Series> =
        GROUP_SIZES.flatMap { groupSize ->
            listOf(
                Series.measure("plan, groups of $groupSize", MICROSECONDS, "instances in the domain", DOMAINS) {
                    val input = input(it, groupSize)
                    probe.microseconds { plan(input) }
                },
                Series.measure("fleet count, groups of $groupSize", MICROSECONDS, "instances", FLEETS) {
                    val fleet = FleetFixture(it, groupSize)
                    probe.microseconds { fleet.count() }
                },
                Series.measure("distribution of all groups anew, size $groupSize", MICROSECONDS, "instances", FLEETS) {
                    val fleet = FleetFixture(it, groupSize, divided = false)
                    val counted = fleet.count()
                    probe.microseconds { ReplicaDistribution.of(fleet.catalogue, counted) }
                },
                Series.measure("distribution of a whole fleet, size $groupSize", MICROSECONDS, "instances", FLEETS) {
                    val fleet = FleetFixture(it, groupSize)
                    val counted = fleet.count()
                    probe.microseconds { ReplicaDistribution.of(fleet.catalogue, counted) }
                },
                Series.measure("division document, groups of $groupSize", "bytes", "instances in the domain", DOMAINS) {
                    listOf(DivisionDocument.encode(division(it, groupSize)).toByteArray().size.toDouble())
                },
                Series.measure("divisions' heap, groups of $groupSize", "bytes", "instances", FLEETS) {
                    probe.heap { decodedFleet(it, groupSize) }
                },
            )
        } + listSeries(probe) + rankingSeries(probe)

    private fun listSeries(probe: Probe): List<Series> = listOf(
        Series.measure("live list", "bytes", "instances", FLEETS) {
            listOf(listText(it).toByteArray().size.toDouble())
        },
        Series.measure("live list, decoding", MICROSECONDS, "instances", FLEETS) {
            val text = listText(it)
            probe.microseconds { Json.decodeFromString<List<ListedInstance>>(text) }
        },
        Series.measure("reports of polled instances, bodies", "bytes", "instances", DOMAINS) {
            listOf(reportTexts(it).sumOf { text -> text.length }.toDouble())
        },
        Series.measure("reports of polled instances, decoding", MICROSECONDS, "instances", DOMAINS) {
            val texts = reportTexts(it)
            probe.microseconds { texts.forEach { text -> Json.decodeFromString<InstanceReport>(text) } }
        },
    )

    private fun rankingSeries(probe: Probe): List<Series> = listOf(
        Series.measure("holders of one group", MICROSECONDS, "daemons", DAEMONS) {
            val peers = Fixtures.peers(it)
            val group = GroupId("kotoba-pool-sapporo-rack-7-336")
            probe.microseconds { peers.holders(group, count = 6) }
        },
    )

    private fun listText(instances: Int) =
        Json.encodeToString(List(instances) { Fixtures.listed(it, Fixtures.domain(it / Fixtures.DOMAIN_SIZE)) })

    private fun reportTexts(instances: Int): List<String> =
        observations(division(instances, groupSize = 1)).values.map { Json.encodeToString(it.report) }

    private fun decodedFleet(instances: Int, groupSize: Int): Any =
        Fixtures.fleet(instances, groupSize).mapValues { DivisionDocument.decode(DivisionDocument.encode(it.value)) }

    private fun division(instances: Int, groupSize: Int) = Fixtures.division(DOMAIN, 0, instances, groupSize)

    private fun input(instances: Int, groupSize: Int): PlanningInput {
        val division = division(instances, groupSize)
        val listed = List(instances) { Fixtures.listed(it, DOMAIN) }.associateBy { it.id }.toPersistentMap()
        val entry = CatalogueFixtures.model("kotoba-pool", groupSize, division.groups.size)
        val catalogue = CatalogueFixtures.catalogue(listOf(entry))
        val fleet = FleetInventory.of(catalogue, listed.values, mapOf(DOMAIN to division))
        return PlanningInput(
            catalogue = catalogue,
            division = division,
            listed = listed,
            fleet = fleet,
            distribution = ReplicaDistribution.of(catalogue, fleet),
            observations = observations(division).toPersistentMap(),
            drainingFor = persistentMapOf(),
            surplusFor = persistentMapOf<EntryName, Duration>(),
            recentLoadFailures = persistentSetOf(),
            refused = persistentMapOf(),
            pendingEvents = persistentListOf(),
            stamp = HybridTime(0, 0, DaemonId("entry-1")),
            settings = PlanningSettings(),
        )
    }

    private fun observations(division: Division) = division.groups.flatMap { group ->
        group.members.map { member ->
            val report = InstanceReport(
                member.instance,
                member.incarnation,
                group.id,
                group.fence,
                InstancePhase.READY,
                group.model,
                group.modelVersion,
                slots = 8,
            )
            member.instance to
                InstanceObservation(report, Duration.ZERO, idleFor = 1.minutes, incarnationKnownFor = 1.minutes)
        }
    }.toMap()

    /** A fleet with all groups formed, or with none when it is not [divided]. */
    private class FleetFixture(instances: Int, groupSize: Int, divided: Boolean = true) {
        private val listed = List(instances) { Fixtures.listed(it, Fixtures.domain(it / Fixtures.DOMAIN_SIZE)) }
        private val divisions: Map<FabricDomain, Division> =
            if (divided) Fixtures.fleet(instances, groupSize) else emptyMap()
        val catalogue: Catalogue =
            CatalogueFixtures.catalogue(
                listOf(CatalogueFixtures.model("kotoba-pool", groupSize, instances / groupSize))
            )

        fun count(): FleetInventory = FleetInventory.of(catalogue, listed, divisions)
    }

    private companion object {
        const val MICROSECONDS = "µs"
        val DOMAIN = FabricDomain("sapporo-rack-1")
        val GROUP_SIZES = listOf(1, 4, 8)
        val DOMAINS = listOf(24, 48, 96, 192)
        val FLEETS = listOf(1_200, 3_000, 6_000, 12_000)
        val DAEMONS = listOf(9, 50, 150, 430)
    }
}
