package boragering.standins

import kotlinx.serialization.json.JsonElement
import java.security.MessageDigest

/** The text that an engine generates. It depends only on the request's messages, so that a checker can predict it. */
object AnswerText {
    private const val HASH_BYTES = 4

    /** A short hash of the request's `messages`. */
    fun hash(messages: JsonElement): String = MessageDigest.getInstance("SHA-256")
        .digest(messages.toString().encodeToByteArray())
        .take(HASH_BYTES).joinToString("") { "%02x".format(it) }

    /** The text of the token at [index]; all but the first start with a space. */
    fun token(hash: String, index: Int): String = if (index == 0) "t0-$hash" else " t$index-$hash"

    /** The complete text of an answer with [count] tokens. */
    fun complete(messages: JsonElement, count: Int): String {
        val hash = hash(messages)
        return (0 until count).joinToString("") { token(hash, it) }
    }
}
