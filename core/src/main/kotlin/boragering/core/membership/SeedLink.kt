package boragering.core.membership

import boragering.core.DaemonId

/** Sends messages to daemons for which only the address (`host:port`) is known. Sending never suspends. */
fun interface SeedLink {
    /** Queues [message] for the daemon that listens at [address]; the message is dropped if no daemon does. */
    fun sendToAddress(address: String, message: PeerMessage)

    /**
     * Closes the links to [daemon], which does not respond; the next message opens a new link. After a partition a new
     * connection works immediately, whereas TCP may wait as long as the partition lasted before it retransmits on an
     * old connection.
     */
    fun reconnect(daemon: DaemonId) = Unit
}
