package boragering.core.claims

import boragering.core.CallerRequest
import boragering.core.DaemonId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.apache.commons.codec.binary.Base64
import org.apache.commons.codec.digest.DigestUtils

/** The claims of one shard as the store holds them. */
@Serializable
internal data class ClaimDocument(@SerialName("c") val claims: List<Claim> = emptyList())

/**
 * The record of one non-repeatable request. [token] names the attempt that wrote it. Times are wall-clock milliseconds
 * since the Unix epoch; the claim is removed after [expiresAt]. The encoded names are short because the store bounds
 * the size of a document, and with it the number of claims that can be kept.
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
     * whose random numbers start alike must not take each other's claims for their own.
     */
    fun sameAttempt(other: Claim): Boolean = token == other.token && daemon == other.daemon

    private companion object {
        /** Field names, digests, token, times, and the state without its variable text. */
        const val FIXED_SIZE = 260
    }
}

/** What is known about a claimed request. */
@Serializable
internal sealed interface ClaimState {
    /** Length of the state's text in the encoded document, in bytes. */
    val variableSize: Int get() = 0

    /** The request may be sent, by the writer of the claim only. */
    @Serializable
    @SerialName("pending")
    data object Pending : ClaimState

    /** The request was not run and will not be. */
    @Serializable
    @SerialName("not-run")
    data object NotRun : ClaimState

    /** The target answered; [body] is base64 and `null` when it was too long to keep. */
    @Serializable
    @SerialName("finished")
    data class Finished(val status: Int, val contentType: String?, val body: String?) : ClaimState {
        override val variableSize: Int get() = (body?.length ?: 0) + 2 * (contentType?.length ?: 0)
    }

    /** The request was sent and its end is not known. [reason] is printable ASCII. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val reason: String) : ClaimState {
        override val variableSize: Int get() = reason.length
    }
}

/** Digests that name claims and tell requests apart. */
internal object ClaimDigests {
    /** The identity of the request that an organisation names with its key. */
    fun identity(request: CallerRequest, key: String): String =
        digest(listOf(request.organisation.value, request.entry.value, key))

    /** Tells whether two requests with the same key are the same request. */
    fun fingerprint(request: CallerRequest): String =
        digest(listOf(request.method, request.path, DigestUtils.sha256Hex(request.body.array)))

    /** Each part is preceded by its length, so that no two different lists give the same text. */
    private fun digest(parts: List<String>): String =
        Base64.encodeBase64URLSafeString(DigestUtils.sha256(parts.joinToString("") { "${it.length}:$it" }))
}
