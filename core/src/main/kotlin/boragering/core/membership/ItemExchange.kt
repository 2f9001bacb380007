package boragering.core.membership

import boragering.core.DaemonId

/** Handles the messages with which daemons exchange items; see [Dissemination]. */
internal class ItemExchange(
    private val items: ItemReplica,
    private val link: PeerLink,
    private val requests: ItemRequests,
) {
    fun handle(from: DaemonId, message: PeerMessage) {
        when (message) {
            is PeerMessage.Items -> acceptItems(from, message.items)
            is PeerMessage.Announcement -> requests.request(from, message.versions)
            is PeerMessage.DigestSummary -> handleComparison(from, message)
            is PeerMessage.BucketDigest -> handleComparison(from, message)
            is PeerMessage.Digest -> handleComparison(from, message)
            is PeerMessage.ItemRequest -> sendItems(from, message.keys.mapNotNull(items::get))
            else -> Unit
        }
    }

    /**
     * Stores received items. If this daemon has a newer version, for example because a suspicion was refuted, it sends
     * that version back.
     */
    private fun acceptItems(from: DaemonId, received: List<Item>) {
        val newer = received.mapNotNull { item ->
            items.accept(item)
            requests.markReceived(item.key)
            items.get(item.key)?.takeIf { it.version > item.version }
        }
        offer(from, newer)
    }

    /** Sends the content of small items and announces the versions of larger ones. */
    fun offer(to: DaemonId, newer: List<Item>) {
        val (small, large) = newer.partition { it.content.length <= MAXIMUM_UNREQUESTED_LENGTH }
        sendItems(to, small)
        large.chunked(KEYS_PER_MESSAGE).forEach { part ->
            link.send(to, PeerMessage.Announcement(part.associate { it.key to it.version }))
        }
    }

    private fun handleComparison(from: DaemonId, message: PeerMessage.DigestSummary) {
        val all = items.all("")
        if (ItemDigest.summary(all) != message.hash) link.send(from, PeerMessage.BucketDigest(ItemDigest.buckets(all)))
    }

    private fun handleComparison(from: DaemonId, message: PeerMessage.BucketDigest) {
        val all = items.all("")
        val own = ItemDigest.buckets(all)
        val different = own.indices.filter { own[it] != message.hashes.getOrNull(it) }
        val versions = all.groupBy({ ItemDigest.bucket(it.key) }, { it.key to it.version })
        batches(different) { bucket -> versions[bucket].orEmpty().sumOf { it.first.length } }.forEach { buckets ->
            link.send(from, PeerMessage.Digest(buckets.flatMap { versions[it].orEmpty() }.toMap(), buckets))
        }
    }

    private fun handleComparison(from: DaemonId, message: PeerMessage.Digest) {
        val covered = message.buckets?.toSet()
        val newer = items.all("").filter { item ->
            (covered == null || ItemDigest.bucket(item.key) in covered) &&
                item.version > (message.versions[item.key] ?: Long.MIN_VALUE)
        }
        offer(from, newer)
        requests.request(from, message.versions)
    }

    /**
     * Sends [wanted] in messages of bounded size, up to a total of [MAXIMUM_BURST_LENGTH] characters. The next
     * comparison sends the rest.
     */
    private fun sendItems(to: DaemonId, wanted: List<Item>) {
        var total = 0
        val sent = wanted.takeWhile { item ->
            total += item.content.length
            total <= MAXIMUM_BURST_LENGTH || total == item.content.length
        }
        batches(sent) { it.content.length + it.key.length }.forEach { link.send(to, PeerMessage.Items(it)) }
    }

    private companion object {
        const val MAXIMUM_UNREQUESTED_LENGTH = 512
        const val MAXIMUM_BURST_LENGTH = 4 * 1024 * 1024
    }
}

/**
 * Splits [elements] into lists with a total size of at most 256 Ki units each, as measured by [size]. A larger element
 * gets a list of its own; a store value has at most 1 MB, so it still fits into a frame of 2 MiB.
 */
internal fun <T> batches(elements: List<T>, size: (T) -> Int): List<List<T>> {
    val result = mutableListOf<MutableList<T>>()
    var remaining = 0
    elements.forEach { element ->
        remaining -= size(element)
        if (result.isEmpty() || remaining < 0) {
            result += mutableListOf<T>()
            remaining = BATCH_SIZE - size(element)
        }
        result.last() += element
    }
    return result
}

/** Maximum number of keys in one message; a key has some tens of bytes. */
internal const val KEYS_PER_MESSAGE = 1_000
private const val BATCH_SIZE = 256 * 1024
