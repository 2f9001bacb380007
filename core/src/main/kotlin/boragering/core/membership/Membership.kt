package boragering.core.membership

import boragering.core.Clock
import boragering.core.DaemonId
import boragering.core.Store
import boragering.core.timeline.Timeline
import boragering.core.timeline.TimelineEntry
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration

/** The dependencies of [Membership]. The [pauseDetector] is shared with the daemon's other loops. */
class MembershipPorts(
    val store: Store,
    val link: PeerLink,
    val seedLink: SeedLink,
    val clock: Clock,
    val timeline: Timeline,
    val pauseDetector: PauseDetector,
)

/**
 * Maintains the set of live daemons from the registrations in the store, from the records of other daemons and from
 * pings. Safe for use by several threads.
 *
 * @param seeds addresses (`host:port`) of other daemons, which are used to find peers when the store is unavailable.
 */
class Membership(
    override val self: Registration,
    private val items: ItemReplica,
    private val ports: MembershipPorts,
    seeds: List<String>,
    random: Random,
) : Peers {
    private val random = LockedRandom(random)
    private val isolation = IsolationDetector(ports.clock)
    private val ownRecord = OwnRecord(self, items)
    private val table = DaemonTable(self, items, ports, isolation)
    private val detector =
        FailureDetector(self.daemon, DetectorCallbacks(), ports.link, ports.pauseDetector, ports.clock, this.random)
    private val leaseWakeSignal = WakeSignal()
    private val readWakeSignal = WakeSignal()
    private val lease = RegistrationLease(self, ports.store, this.random, leaseWakeSignal)
    private val reader = RegistrationReader(ports.store, ports.clock, isolation, this.random, readWakeSignal)
    private var registrationListener: (Set<String>) -> Unit = {}
    private val discovery = PeerDiscovery(items, table, ports, seeds, this.random)

    override val live: PersistentList<Registration> get() = table.live

    override val neighbours: PersistentList<Registration> get() = table.neighbours

    init {
        items.listen(Registration.KEY_PREFIX) { item -> DaemonRecord.of(item)?.let(::handleRecord) }
        ports.pauseDetector.listen(::handlePause)
        ownRecord.publish()
    }

    /** Runs all loops until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { lease.run() }
        launch { reader.run(::handleRegistrations) }
        launch { detector.run() }
        launch { discovery.contactSeeds() }
        launch { discovery.contactLostDaemons() }
        while (true) {
            ports.pauseDetector.check()
            table.expire()
            delay(PauseDetector.CHECK_INTERVAL)
        }
    }

    /** Handles a message from another daemon. Messages for other components only show that a peer is reachable. */
    fun handle(from: DaemonId, message: PeerMessage) {
        ports.pauseDetector.check()
        isolation.messageReceived()
        detector.handle(from, message)
    }

    /** The address (`host:port`) of another known daemon, live or not. */
    fun address(daemon: DaemonId): String? = table.get(daemon)?.record?.registration?.peerAddress

    /** Calls [listener] with the keys of the registrations read from the store, which every daemon reads itself. */
    fun onRegistrations(listener: (Set<String>) -> Unit) {
        registrationListener = listener
    }

    /**
     * Announces to some peers that this daemon leaves, which they gossip on, and revokes the registration. Takes about
     * a second.
     */
    suspend fun leave() {
        ownRecord.announceLeave()
        delay(Dissemination.GOSSIP_INTERVAL * (Dissemination.GOSSIP_ROUNDS + 1))
        lease.revoke()
    }

    private fun handleRecord(record: DaemonRecord) {
        val predecessor = record.registration.peerAddress == self.peerAddress && record.state != DaemonState.LEFT
        when {
            record.daemon == self.daemon -> ownRecord.refute(record)
            // A daemon that used this address earlier must have ended, although its registration may still exist.
            predecessor -> items.accept(record.copy(state = DaemonState.LEFT).toItem())
            else -> table.update(record)
        }
    }

    /**
     * Handles a pause, in which daemons that this one considers live may have left and it may have been declared lost.
     */
    private fun handlePause(gap: Duration) {
        ports.timeline.record(TimelineEntry("daemon-paused", "daemon ${self.daemon} did not run for $gap"))
        if (gap >= DaemonTable.RETENTION / 2) {
            items.clear(Registration.KEY_PREFIX)
            table.clear()
        }
        table.restartSuspicions()
        ownRecord.incrementHeartbeat()
        leaseWakeSignal.signal()
        readWakeSignal.signal()
    }

    private suspend fun handleRegistrations(registrations: List<Registration>) {
        val others = registrations.filter { it.daemon != self.daemon }
        others.forEach { items.accept(DaemonRecord(it, OwnRecord.FIRST_HEARTBEAT, DaemonState.ALIVE).toItem()) }
        registrationListener(others.mapTo(HashSet()) { Registration.key(it.daemon) })
        if (self !in registrations) lease.registerAgain()
    }

    private inner class DetectorCallbacks : FailureDetectorCallbacks {
        override fun neighbours(): List<DaemonId> = table.neighbours.map { it.daemon }

        override fun ownHeartbeat(): Long = ownRecord.heartbeat

        override fun onAnswer(daemon: DaemonId, heartbeat: Long) {
            val known = table.get(daemon)?.record ?: return
            if (heartbeat > known.heartbeat) {
                items.accept(known.copy(heartbeat = heartbeat, state = DaemonState.ALIVE).toItem())
            }
        }

        override fun onNoAnswer(daemon: DaemonId) {
            val known = table.get(daemon)?.record ?: return
            val suspicion = known.copy(state = DaemonState.SUSPECTED)
            ports.seedLink.reconnect(daemon)
            if (items.accept(suspicion.toItem())) discovery.sendRecord(suspicion)
        }
    }
}
