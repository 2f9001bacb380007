package boragering.core.membership

import boragering.core.DaemonId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.apache.commons.codec.digest.MurmurHash3

/**
 * Arranges the daemons on a ring, ordered by the hashes of their ids. Each daemon keeps links to those at the distances
 * 1, 2, 4 and so on in both directions. The number of links per daemon and the number of hops in which a message
 * reaches all daemons therefore grow with the logarithm of the number of daemons, and each daemon is monitored by
 * several others, regardless of availability zone. In a small deployment each daemon keeps links to all others, which
 * costs no more.
 */
internal object PeerRing {
    /** Returns the neighbours of [self] without duplicates; [live] must contain [self]. */
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

    /** Maximum number of daemons for which each daemon keeps links to all others. */
    private const val FULL_MESH_LIMIT = 16

    private fun position(daemon: DaemonId): Long = MurmurHash3.hash128x64(daemon.value.toByteArray())[0]
}
