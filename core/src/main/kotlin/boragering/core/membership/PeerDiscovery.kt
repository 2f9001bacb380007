package boragering.core.membership

import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Contacts daemons that are not in the live list: those at the seed addresses and those declared lost. */
internal class PeerDiscovery(
    private val items: ItemReplica,
    private val table: DaemonTable,
    private val ports: MembershipPorts,
    private val seeds: List<String>,
    private val random: Random,
) {
    /** Contacts some seed addresses immediately and then one at a time until cancelled. */
    suspend fun contactSeeds() {
        seeds.shuffled(random).take(INITIAL_SEEDS).forEach(::contactSeed)
        while (seeds.isNotEmpty()) {
            delay(random.jittered(if (table.live.size == 1) SEED_INTERVAL_WITHOUT_PEERS else SEED_INTERVAL))
            contactSeed(seeds.random(random))
        }
    }

    /** Sends lost daemons, one at a time, their own record until cancelled, so that they rejoin after a partition. */
    suspend fun contactLostDaemons() {
        while (true) {
            delay(random.jittered(LOST_DAEMON_INTERVAL))
            table.lostDaemons().randomOrNull(random)?.let { sendRecord(it.record) }
        }
    }

    /** Sends [record] to the daemon that it describes, so that the daemon can refute a suspicion. */
    fun sendRecord(record: DaemonRecord) = ports.link.send(record.daemon, PeerMessage.Items(listOf(record.toItem())))

    /** Starts a comparison of items, which also makes this daemon known to the recipient. */
    private fun contactSeed(address: String) =
        ports.seedLink.sendToAddress(address, PeerMessage.DigestSummary(ItemDigest.summary(items.all(""))))

    private companion object {
        val SEED_INTERVAL = 30.seconds
        val SEED_INTERVAL_WITHOUT_PEERS = 2.seconds
        val LOST_DAEMON_INTERVAL = 5.seconds
        const val INITIAL_SEEDS = 3
    }
}
