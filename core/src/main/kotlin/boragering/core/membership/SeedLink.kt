package boragering.core.membership

import boragering.core.DaemonId

/** Sends messages to daemons of which only the address (`host:port`) is known. Sending never suspends. */
fun interface SeedLink {
    /** Queues [message] for the daemon that listens at [address]; it is dropped when there is none. */
    fun sendToAddress(address: String, message: PeerMessage)

    /**
     * Closes the links to [daemon], which does not respond; the next message opens a new one. After a partition a new
     * connection works at once, whereas TCP resends on an old one only after up to as long as the partition lasted.
     */
    fun reconnect(daemon: DaemonId) = Unit
}
