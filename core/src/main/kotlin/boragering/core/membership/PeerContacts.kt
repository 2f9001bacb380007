package boragering.core.membership

import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Messages to daemons that are not live for this one: those behind seed addresses, and those that count as lost. */
internal class PeerContacts(
    private val items: ItemReplica,
    private val table: DaemonTable,
    private val ports: MembershipPorts,
    private val seeds: List<String>,
    private val random: Random,
) {
    /** Contacts some seed addresses at once and then one at a time until cancelled. */
    suspend fun greetSeeds() {
        seeds.shuffled(random).take(FIRST_SEEDS).forEach(::greet)
        while (seeds.isNotEmpty()) {
            delay(random.jittered(if (table.live.size == 1) LONELY_SEED_INTERVAL else SEED_INTERVAL))
            greet(seeds.random(random))
        }
    }

    /** Tells one lost daemon at a time that it is, until cancelled, so that it is found after a partition. */
    suspend fun visitLost() {
        while (true) {
            delay(random.jittered(LOST_INTERVAL))
            table.lost().randomOrNull(random)?.let { tell(it.record) }
        }
    }

    /** Tells the daemon that [record] is about, so that it refutes a suspicion. */
    fun tell(record: DaemonRecord) = ports.link.send(record.daemon, PeerMessage.Items(listOf(record.toItem())))

    /** Starts a comparison of items, which also makes this daemon known. */
    private fun greet(address: String) =
        ports.seedLink.sendToAddress(address, PeerMessage.DigestSummary(ItemDigest.summary(items.all(""))))

    private companion object {
        val SEED_INTERVAL = 30.seconds
        val LONELY_SEED_INTERVAL = 2.seconds
        val LOST_INTERVAL = 5.seconds
        const val FIRST_SEEDS = 3
    }
}
