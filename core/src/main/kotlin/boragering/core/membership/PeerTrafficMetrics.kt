package boragering.core.membership

/** The kinds of peer messages that the metrics distinguish. */
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
    PROMPTS,
    TARGET_RATE,
    ADMISSION,
}

/** The kind of this message. All messages that compare versions count as [PeerMessageKind.DIGEST]. */
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
        is PeerMessage.TargetRateEnded -> PeerMessageKind.TARGET_RATE
        is PeerMessage.AdmissionCounts -> PeerMessageKind.ADMISSION
        is PeerMessage.PromptCrash, is PeerMessage.PromptPartQuarantined, is PeerMessage.PromptPartAnswered ->
            PeerMessageKind.PROMPTS
        is PeerMessage.DocumentRequest, is PeerMessage.Documents -> PeerMessageKind.DOCUMENTS
        is PeerMessage.ChangesRequest, is PeerMessage.ChangesAnswer -> PeerMessageKind.CHANGES
        is PeerMessage.InstanceObservations -> PeerMessageKind.DOCUMENTS
    }

/** Counts the traffic between daemons. Implementations are safe for use by several threads and return at once. */
interface PeerTrafficMetrics {
    /** Counts a frame of [bytes] bytes with a message of [kind] that was written to a link. */
    fun sent(kind: PeerMessageKind, bytes: Int)

    /** Counts a frame of [bytes] bytes with a message of [kind] that was read from a link. */
    fun received(kind: PeerMessageKind, bytes: Int)

    /** Counts a message of [kind] that was not sent because a send queue was full or there was no link. */
    fun dropped(kind: PeerMessageKind)

    /** Counts nothing. */
    object None : PeerTrafficMetrics {
        override fun sent(kind: PeerMessageKind, bytes: Int) = Unit

        override fun received(kind: PeerMessageKind, bytes: Int) = Unit

        override fun dropped(kind: PeerMessageKind) = Unit
    }
}
