package boragering.daemon

import boragering.core.OrganisationName
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.CatalogueSource
import boragering.core.catalogue.Organisation
import org.apache.commons.codec.digest.DigestUtils
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicReference

/** Recognises callers by the hashes of their tokens in the catalogue in force. */
internal class CallerAuthentication(private val catalogue: CatalogueSource) {
    private val index = AtomicReference(Index(-1, emptyMap()))

    /** The organisation whose token the `Authorization` header carries, or `null`. */
    fun organisation(header: String?): OrganisationName? {
        val token = bearerToken(header)
        val inForce = catalogue.current()
        return if (token == null || inForce == null) null else indexOf(inForce).organisations[hashToken(token)]?.name
    }

    private fun indexOf(inForce: Catalogue): Index {
        val known = index.get()
        if (known.revision == inForce.revision) return known
        val fresh = Index(inForce.revision, inForce.organisations.values.associateBy { it.tokenHash })
        index.set(fresh)
        return fresh
    }

    private class Index(val revision: Long, val organisations: Map<String, Organisation>)
}

/** Recognises operators by their shared token. */
internal class OperatorAuthentication(token: String) {
    private val expected = hashToken(token).toByteArray()

    /** Whether the `Authorization` header carries the operators' token. */
    fun accepts(header: String?): Boolean {
        val token = bearerToken(header) ?: return false
        return MessageDigest.isEqual(expected, hashToken(token).toByteArray())
    }
}

private fun hashToken(token: String): String = "sha256:" + DigestUtils.sha256Hex(token)

private fun bearerToken(header: String?): String? =
    header?.takeIf { it.startsWith("Bearer ", ignoreCase = true) }?.substring("Bearer ".length)?.trim()
