package boragering.core.groups

import boragering.core.AvailabilityZone
import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.EntryName
import boragering.core.FabricDomain
import boragering.core.Fence
import boragering.core.GroupId
import boragering.core.GroupSummary
import boragering.core.Incarnation
import boragering.core.InstanceId
import boragering.core.membership.Item
import boragering.core.membership.Items
import boragering.core.membership.PeerMessage
import boragering.core.membership.Peers
import boragering.core.membership.Registration
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GroupHealthTest : DescribeSpec({
    describe("candidates") {
        it("need evidence that is at most 2.5 s old (guards against serving on old reports)") {
            val fixture = Fixture()
            fixture.observe(age = 1.seconds)
            fixture.candidates() shouldHaveSize 1
            fixture.now += 1.5.seconds
            fixture.candidates() shouldHaveSize 1
            fixture.now += 1.milliseconds
            fixture.candidates().shouldBeEmpty()
        }

        it("need evidence of the present fencing number (guards against reports for former members)") {
            val fixture = Fixture()
            fixture.health.observe(fixture.evidence(Duration.ZERO).copy(fence = Fence(1)))
            fixture.candidates().shouldBeEmpty()
        }

        it("exclude draining groups (guards against new work for draining groups)") {
            val fixture = Fixture(phase = GroupPhase.Draining("test", 0))
            fixture.observe()
            fixture.candidates().shouldBeEmpty()
        }

        it("include only groups that this daemon holds (guards against unbounded fan-in)") {
            val held = (1..DAEMONS).count { self ->
                val fixture = Fixture(self = "d$self", daemons = DAEMONS)
                fixture.observe()
                fixture.candidates().size == 1
            }
            held shouldBe HOLDERS
        }

        it("stop being usable when their group gets another fencing number (guards against an outdated choice)") {
            val fixture = Fixture()
            fixture.observe()
            val candidate = fixture.candidates().single()
            fixture.health.usable(candidate) shouldBe true
            fixture.health.usable(candidate.copy(fence = Fence(1))) shouldBe false
        }
    }

    describe("evidence") {
        it("that is older never replaces newer evidence (guards against reordered summaries)") {
            val fixture = Fixture()
            fixture.health.observe(fixture.evidence(Duration.ZERO).copy(whole = false))
            fixture.observe(age = 10.milliseconds)
            fixture.candidates().shouldBeEmpty()
        }

        it("from a summary without a known echo is ignored (guards against summaries of unknown age)") {
            val fixture = Fixture()
            fixture.receive(echo = null)
            fixture.receive(echo = 7)
            fixture.candidates().shouldBeEmpty()
            fixture.receive(echo = fixture.echoes.next().number)
            fixture.candidates() shouldHaveSize 1
        }

        it("from a summary has the age of its echo plus its stated age (guards against a stalled link)") {
            val fixture = Fixture()
            val echo = fixture.echoes.next().number
            fixture.now += 2.seconds
            fixture.receive(echo, ageMilliseconds = 500)
            fixture.candidates().single().reportAge shouldBe 2.5.seconds
            fixture.now += 1.milliseconds
            fixture.receive(echo, ageMilliseconds = 500)
            fixture.candidates().shouldBeEmpty()
        }
    }

    describe("a target reported as leaving") {
        it("gets requests again only after evidence from 1 s later (guards against a port closed before the report)") {
            val fixture = Fixture()
            fixture.observe()
            val candidate = fixture.candidates().single()
            fixture.health.reportLeaving(candidate.group, candidate.fence)
            fixture.health.usable(candidate) shouldBe false
            fixture.now += 1.seconds
            fixture.observe(age = 1.milliseconds)
            fixture.candidates().shouldBeEmpty()
            fixture.now += 1.milliseconds
            fixture.observe(age = 1.milliseconds)
            fixture.candidates() shouldHaveSize 1
        }
    }

    describe("the echo tracker") {
        it("returns times only of echoes that it remembers (guards against invented and outdated numbers)") {
            val fixture = Fixture()
            repeat(100) { fixture.echoes.next() }
            fixture.echoes.sentAt(100) shouldBe fixture.now
            listOf(-1L, 0L, 36L, 101L, Long.MAX_VALUE).map(fixture.echoes::sentAt) shouldBe List(5) { null }
        }
    }

    describe("the replica of divisions") {
        it("never replaces a version by a lower one (guards against late items)") {
            val items = ListeningItems()
            val replica = DivisionReplica(items) { }
            listOf(2L, 1L).forEach { items.listener(DivisionDocument.item(Division(DOMAIN, it))) }
            replica.current().getValue(DOMAIN).version shouldBe 2
            items.listener(Item(Division.key(DOMAIN), 3, "not a division"))
            replica.current().getValue(DOMAIN).version shouldBe 2
        }
    }
}) {
    private class Fixture(self: String = "d1", daemons: Int = 1, phase: GroupPhase = GroupPhase.Active) {
        var now = 1.hours
        private val clock = object : Clock {
            override fun wallMilliseconds(): Long = 0
            override fun monotonic(): Duration = now
        }
        private val member = Member(InstanceId("i"), Incarnation("1"), "i:1")
        private val group =
            Group(GroupId("g"), EntryName("m"), "model", "1", Fence(2), listOf(member), member.instance, phase)
        private val peers = object : Peers {
            override val live: PersistentList<Registration> =
                (1..daemons).map { registration("d$it") }.toPersistentList()
            override val self = live.first { it.daemon.value == self }
        }
        val echoes = EchoTracker(clock)
        val health =
            GroupHealth(peers, { persistentMapOf(DOMAIN to Division(DOMAIN, 2, listOf(group))) }, echoes, clock)

        fun evidence(age: Duration) =
            GroupEvidence(group.id, group.fence, whole = true, leaving = false, 0, 0, slots = 1, at = now - age)

        fun observe(age: Duration = Duration.ZERO) = health.observe(evidence(age))

        fun candidates() = health.candidates(EntryName("m"))

        fun receive(echo: Long?, ageMilliseconds: Long = 0) {
            val summary = GroupSummary(DOMAIN, group.id, group.fence, true, false, 0, 0, 1, ageMilliseconds)
            health.accept(DaemonId("other"), PeerMessage.GroupSummaries(echo, listOf(summary)))
        }

        private fun registration(name: String) =
            Registration(DaemonId(name), "$name:1", "$name:2", "$name:3", AvailabilityZone("z"), "r")
    }

    private class ListeningItems : Items {
        lateinit var listener: (Item) -> Unit

        override fun get(key: String): Item? = null

        override fun all(prefix: String): PersistentList<Item> = emptyList<Item>().toPersistentList()

        override fun accept(item: Item): Boolean = false

        override fun listen(prefix: String, listener: (Item) -> Unit) {
            this.listener = listener
        }
    }

    private companion object {
        val DOMAIN = FabricDomain("f1")
        const val DAEMONS = 20
        const val HOLDERS = HealthSettings.DEFAULT_HOLDERS
    }
}
