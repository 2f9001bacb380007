package boragering.core.claims

import boragering.core.CallerRequest
import boragering.core.DaemonId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.apache.commons.codec.binary.Base64
import org.apache.commons.codec.digest.DigestUtils

/** The stored document that holds the claims of one shard. */
@Serializable
internal data class ClaimDocument(@SerialName("c") val claims: List<Claim> = emptyList())

/**
 * The record of one non-repeatable request. [token] identifies the attempt that wrote the claim. Times are
 * wall-clock milliseconds since the Unix epoch; the claim is removed after [expiresAt]. The encoded names are
 * short because the store limits the size of a document, and therefore the number of claims that fit into it.
 */
@Serializable
internal data class Claim(
    @SerialName("i") val identity: String,
    @SerialName("f") val fingerprint: String,
    @SerialName("t") val token: String,
    @SerialName("d") val daemon: DaemonId,
    @SerialName("w") val writtenAt: Long,
    @SerialName("e") val expiresAt: Long,
    @SerialName("s") val state: ClaimState = ClaimState.Pending,
) {
    /** Upper bound on the claim's part of the encoded document, in bytes. */
    val encodedSize: Int get() = FIXED_SIZE + daemon.value.length + state.variableSize

    /**
     * Whether the same attempt of the same daemon wrote [other]. Tokens are unique only within a daemon: two daemons
     * whose random generators have the same seed must not mistake each other's claims for their own.
     */
    fun sameAttempt(other: Claim): Boolean = token == other.token && daemon == other.daemon

    private companion object {
        /** Size in bytes of the field names, digests, token, times, and the state without its variable text. */
        const val FIXED_SIZE = 260
    }
}

/** The known state of a claimed request. */
@Serializable
internal sealed interface ClaimState {
    /** Length of the state's text in the encoded document, in bytes. */
    val variableSize: Int get() = 0

    /** The request may be sent, but only by the attempt that wrote the claim. */
    @Serializable
    @SerialName("pending")
    data object Pending : ClaimState

    /** The request was not run and will not be. */
    @Serializable
    @SerialName("not-run")
    data object NotRun : ClaimState

    /** The target answered; [body] is base64-encoded, or `null` when it was too long to keep. */
    @Serializable
    @SerialName("finished")
    data class Finished(val status: Int, val contentType: String?, val body: String?) : ClaimState {
        override val variableSize: Int get() = (body?.length ?: 0) + 2 * (contentType?.length ?: 0)
    }

    /** The request was sent and its outcome is unknown. [reason] is printable ASCII. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val reason: String) : ClaimState {
        override val variableSize: Int get() = reason.length
    }
}

/** Computes the digests that identify claims and distinguish requests. */
internal object ClaimDigests {
    /** Returns the identity of the claim for the idempotency [key] that the organisation gave [request]. */
    fun identity(request: CallerRequest, key: String): String =
        digest(listOf(request.organisation.value, request.entry.value, key))

    /** Returns a digest of the request's content; two requests with the same key are the same if it is equal. */
    fun fingerprint(request: CallerRequest): String =
        digest(listOf(request.method, request.path, DigestUtils.sha256Hex(request.body.array)))

    /** Prefixes each part with its length, so that different lists never produce the same text. */
    private fun digest(parts: List<String>): String =
        Base64.encodeBase64URLSafeString(DigestUtils.sha256(parts.joinToString("") { "${it.length}:$it" }))
}
