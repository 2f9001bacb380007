package boragering.core

/** Sends messages to daemons of which only the address (`host:port`) is known. Sending never suspends. */
fun interface SeedLink {
    /** Queues [message] for the daemon that listens at [address]; it is dropped when there is none. */
    fun sendToAddress(address: String, message: PeerMessage)
}
