package boragering.core.membership

import boragering.core.DaemonId
import boragering.core.GroupId
import boragering.core.GroupSummary
import boragering.core.InstanceId
import boragering.core.timeline.HybridTime
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between daemons, sent after both sides have proved that they know the shared secret. */
@Serializable
sealed interface PeerMessage {
    /** Asks whether the recipient is alive. */
    @Serializable
    @SerialName("ping")
    data class Ping(val sequence: Long) : PeerMessage

    /** Answers a [Ping]. [about] is the daemon that answered, and [heartbeat] is that daemon's own counter. */
    @Serializable
    @SerialName("ping-answer")
    data class PingAnswer(val sequence: Long, val about: DaemonId, val heartbeat: Long) : PeerMessage

    /** Asks the recipient to ping [target] and to forward the answer. */
    @Serializable
    @SerialName("ping-request")
    data class PingRequest(val sequence: Long, val target: DaemonId) : PeerMessage

    /** Transfers items that may be newer than those of the recipient. */
    @Serializable
    @SerialName("items")
    data class Items(val items: List<Item>) : PeerMessage

    /**
     * Lists the versions that the sender knows for all keys in [buckets] (see [ItemDigest]; `null` means all buckets).
     * The recipient sends the items of which it has newer versions and requests those of which the sender has.
     */
    @Serializable
    @SerialName("digest")
    data class Digest(val versions: Map<String, Long>, val buckets: List<Int>? = null) : PeerMessage

    /**
     * Contains one hash over the versions of all keys. A recipient with a different hash answers with [BucketDigest].
     */
    @Serializable
    @SerialName("digest-summary")
    data class DigestSummary(val hash: Long) : PeerMessage

    /** Contains one hash per bucket of keys. The recipient answers with the [Digest] of the buckets that differ. */
    @Serializable
    @SerialName("bucket-digest")
    data class BucketDigest(val hashes: List<Long>) : PeerMessage

    /** Lists versions of items that are too large to be sent unrequested. The recipient requests those it lacks. */
    @Serializable
    @SerialName("announcement")
    data class Announcement(val versions: Map<String, Long>) : PeerMessage

    /** Requests the items with [keys]. */
    @Serializable
    @SerialName("item-request")
    data class ItemRequest(val keys: List<String>) : PeerMessage

    /** Carries a number that the sender associates with a time on its own clock; see [GroupSummaries]. */
    @Serializable
    @SerialName("echo")
    data class Echo(val number: Long) : PeerMessage

    /** Reports the health of groups. [echo] is the highest echo number that the sender received from the recipient. */
    @Serializable
    @SerialName("group-summaries")
    data class GroupSummaries(val echo: Long?, val summaries: List<GroupSummary>) : PeerMessage

    /**
     * Reports that the sender's requests to the group led by instance [head] make no progress. [startedAt] is when that
     * instance started.
     */
    @Serializable
    @SerialName("target-suspicion")
    data class TargetSuspicion(val head: InstanceId, val startedAt: Long?) : PeerMessage

    /**
     * Reports [lost] requests that were in progress at the instance [target], started at [startedAt], when it crashed
     * [ageMilliseconds] ago.
     */
    @Serializable
    @SerialName("prompt-crash")
    data class PromptCrash(
        val target: InstanceId,
        val startedAt: Long?,
        val service: String,
        val ageMilliseconds: Long,
        val lost: List<LostPrompt>,
    ) : PeerMessage

    /**
     * Reports that requests to [service] with the prompt part [part] crash instances, the last one
     * [sinceCrashMilliseconds] ago.
     */
    @Serializable
    @SerialName("prompt-part-quarantined")
    data class PromptPartQuarantined(val service: String, val part: String, val sinceCrashMilliseconds: Long) :
        PeerMessage

    /** Reports that [service] has answered a request with the prompt part [part], which thus crashes no instance. */
    @Serializable
    @SerialName("prompt-part-answered")
    data class PromptPartAnswered(val service: String, val part: String) : PeerMessage

    /** Reports that the instance [head], started at [startedAt], no longer limits the rate of its requests. */
    @Serializable
    @SerialName("target-rate-ended")
    data class TargetRateEnded(val head: InstanceId, val startedAt: Long?) : PeerMessage

    /** The sender's recent requests for capacity that is shared by urgency; see [LaneCounts]. */
    @Serializable
    @SerialName("admission-counts")
    data class AdmissionCounts(val lanes: List<LaneCounts>) : PeerMessage

    /** Requests the store's documents that changed after [after] of [era], because the store does not answer. */
    @Serializable
    @SerialName("document-request")
    data class DocumentRequest(val after: Long, val era: Long = 0) : PeerMessage

    /**
     * The store's documents that changed after revision [after], up to [revision]; all documents if [after] is zero.
     * This message is also sent without documents, to tell the recipient whether the store answers the sender.
     *
     * @property removed revisions at which documents were removed, by key.
     * @property storeAnswers whether the store answers the sender.
     * @property era era of the store to which [after], [revision] and the revisions of [removed] belong.
     */
    @Serializable
    @SerialName("documents")
    data class Documents(
        val after: Long,
        val revision: Long,
        val written: List<StoreDocument>,
        val removed: Map<String, Long>,
        val storeAnswers: Boolean,
        val era: Long = 0,
    ) : PeerMessage

    /** Requests the changes to the store's documents after [after] of [era], once the recipient knows of any. */
    @Serializable
    @SerialName("changes-request")
    data class ChangesRequest(val number: Long, val after: Long, val era: Long = 0) : PeerMessage

    /**
     * Answers the [ChangesRequest] with the same [number].
     *
     * @property revision the revision up to which the sender knows all changes.
     * @property ageMilliseconds time since the sender last verified this, when it sent the answer; `null` if it never
     * did.
     * @property heldMilliseconds time for which the sender waited for a change before it sent this answer.
     * @property changes the packed changes after the requested revision; `null` if the sender does not know all of
     * them.
     * @property era era of the store to which [revision] belongs.
     */
    @Serializable
    @SerialName("changes-answer")
    class ChangesAnswer(
        val number: Long,
        val revision: Long,
        val ageMilliseconds: Long?,
        val heldMilliseconds: Long,
        val changes: ByteArray?,
        val era: Long = 0,
    ) : PeerMessage

    /** The instances as the planner observed them itself while the store answers no daemon. */
    @Serializable
    @SerialName("instance-observations")
    data class InstanceObservations(val instances: List<ObservedInstance>) : PeerMessage
}

/**
 * A request that was lost with its instance, [ageMilliseconds] after it was sent: the [parts] of its prompt that others
 * may share, and those of them with which requests were answered before.
 */
@Serializable
data class LostPrompt(val parts: List<String>, val proven: List<String>, val ageMilliseconds: Long)

/**
 * Recent requests for one service and model at one gateway, with exponential decay, in tenths of requests.
 *
 * @property shortRank the lowest rank of requests that lacked capacity during the last second; `null` if none did.
 * @property asked requests of each of the [organisations].
 * @property served those of them that were sent to a target.
 */
@Serializable
data class LaneCounts(
    val service: String,
    val model: String?,
    val shortRank: Int?,
    val organisations: List<String>,
    val asked: List<Int>,
    val served: List<Int>,
)

/** The models and the group that an instance reports; [group] is `null` if the instance belongs to no group. */
@Serializable
data class ObservedInstance(
    val id: InstanceId,
    val startedAt: Long?,
    val loaded: Set<String>,
    val staged: Set<String>,
    val group: ObservedMembership?,
)

/** The group membership that an instance reports. */
@Serializable
data class ObservedMembership(val group: GroupId, val epoch: Long, val rank: Int, val state: String)

/** A document of the store as daemons transfer it to each other. */
@Serializable
data class StoreDocument(val key: String, val content: String, val revision: Long, val era: Long = 0)

/** A peer message with a timestamp from the sender's hybrid logical clock. */
@Serializable
data class PeerEnvelope(val stamp: HybridTime, val message: PeerMessage)

/** Sends messages to other daemons. Sending never suspends; a message to an unreachable daemon is dropped. */
fun interface PeerLink {
    /** Queues [message] for sending to the daemon [to]. */
    fun send(to: DaemonId, message: PeerMessage)
}
