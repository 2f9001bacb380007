package boragering.core.membership

/** Kinds of peer messages, as counted in metrics. */
enum class PeerMessageKind {
    PING,
    PING_ANSWER,
    PING_REQUEST,
    ITEMS,
    DIGEST,
    ITEM_REQUEST,
    ECHO,
    GROUP_SUMMARIES,
    DOCUMENTS,
    CHANGES,
    TARGET_SUSPICION,
}

/** The kind of a message; the messages of a comparison of versions count as one kind. */
val PeerMessage.kind: PeerMessageKind
    get() = when (this) {
        is PeerMessage.Ping -> PeerMessageKind.PING
        is PeerMessage.PingAnswer -> PeerMessageKind.PING_ANSWER
        is PeerMessage.PingRequest -> PeerMessageKind.PING_REQUEST
        is PeerMessage.Items -> PeerMessageKind.ITEMS
        is PeerMessage.Announcement -> PeerMessageKind.DIGEST
        is PeerMessage.DigestSummary, is PeerMessage.BucketDigest, is PeerMessage.Digest -> PeerMessageKind.DIGEST
        is PeerMessage.ItemRequest -> PeerMessageKind.ITEM_REQUEST
        is PeerMessage.Echo -> PeerMessageKind.ECHO
        is PeerMessage.GroupSummaries -> PeerMessageKind.GROUP_SUMMARIES
        is PeerMessage.TargetSuspicion -> PeerMessageKind.TARGET_SUSPICION
        is PeerMessage.DocumentRequest, is PeerMessage.Documents -> PeerMessageKind.DOCUMENTS
        is PeerMessage.ChangesRequest, is PeerMessage.ChangesAnswer -> PeerMessageKind.CHANGES
        is PeerMessage.InstanceObservations -> PeerMessageKind.DOCUMENTS
    }

/** Counts the traffic between daemons. Implementations are safe for use by several threads and return at once. */
interface PeerTrafficMetrics {
    /** A frame with a message of [kind] of [bytes] bytes was written to a link. */
    fun sent(kind: PeerMessageKind, bytes: Int)

    /** A frame with a message of [kind] of [bytes] bytes was read from a link. */
    fun received(kind: PeerMessageKind, bytes: Int)

    /** A message of [kind] was not sent, because a send queue was full or there was no link. */
    fun dropped(kind: PeerMessageKind)

    /** Counts nothing. */
    object None : PeerTrafficMetrics {
        override fun sent(kind: PeerMessageKind, bytes: Int) = Unit

        override fun received(kind: PeerMessageKind, bytes: Int) = Unit

        override fun dropped(kind: PeerMessageKind) = Unit
    }
}
