package boragering.core.membership

import boragering.core.DaemonId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.apache.commons.codec.digest.MurmurHash3

/**
 * The daemons on a ring, in the order of the hashes of their ids. Each keeps links to those at distances 1, 2, 4 and so
 * on in both directions: the number of links grows with the logarithm of the number of daemons, a message reaches all
 * in as many steps, and each daemon is watched by several others, of any availability zone. Few daemons keep links to
 * all others, which costs no more.
 */
internal object PeerRing {
    /** The neighbours of [self] among [live], which contains it, without duplicates. */
    fun neighbours(self: DaemonId, live: Collection<Registration>): PersistentList<Registration> {
        val others = live.filter { it.daemon != self }
        return (if (live.size <= FULL_MESH_LIMIT) others else ringNeighbours(self, live)).toPersistentList()
    }

    private fun ringNeighbours(self: DaemonId, live: Collection<Registration>): List<Registration> {
        val positions = live.associateWith { position(it.daemon) }
        val ring = live.sortedWith(compareBy({ positions[it] }, { it.daemon.value }))
        val own = ring.indexOfFirst { it.daemon == self }
        val distances = generateSequence(1) { it * 2 }.takeWhile { it < ring.size }
        val indexes = distances.flatMap { sequenceOf(own + it, own - it) }.map { it.mod(ring.size) }
        return indexes.distinct().filter { it != own }.map(ring::get).toList()
    }

    /** Number of daemons up to which each keeps links to all others. */
    private const val FULL_MESH_LIMIT = 16

    private fun position(daemon: DaemonId): Long = MurmurHash3.hash128x64(daemon.value.toByteArray())[0]
}
