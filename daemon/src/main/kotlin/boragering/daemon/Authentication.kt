package boragering.daemon

import boragering.core.OrganisationName
import boragering.core.catalogue.Catalogue
import boragering.core.catalogue.CatalogueSource
import boragering.core.catalogue.Organisation
import org.apache.commons.codec.digest.DigestUtils
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicReference

/** Authenticates callers by the hash of their bearer token, which the current catalogue holds for each organisation. */
internal class CallerAuthentication(private val catalogue: CatalogueSource) {
    private val cachedIndex = AtomicReference(TokenIndex(-1, emptyMap()))

    /** Returns the organisation whose token the `Authorization` header carries, or `null` when there is none. */
    fun organisation(header: String?): OrganisationName? {
        val token = bearerToken(header)
        val current = catalogue.current()
        return if (token == null || current == null) null else indexOf(current).organisations[hashToken(token)]?.name
    }

    private fun indexOf(current: Catalogue): TokenIndex {
        val cached = cachedIndex.get()
        if (cached.revision == current.revision) return cached
        val rebuilt = TokenIndex(current.revision, current.organisations.values.associateBy { it.tokenHash })
        cachedIndex.set(rebuilt)
        return rebuilt
    }

    private class TokenIndex(val revision: Long, val organisations: Map<String, Organisation>)
}

/** Authenticates operators by the bearer token that all operators share. */
internal class OperatorAuthentication(token: String) {
    private val expectedHash = hashToken(token).toByteArray()

    /** Returns whether the `Authorization` header carries the operators' token. */
    fun accepts(header: String?): Boolean {
        val token = bearerToken(header) ?: return false
        return MessageDigest.isEqual(expectedHash, hashToken(token).toByteArray())
    }
}

private fun hashToken(token: String): String = "sha256:" + DigestUtils.sha256Hex(token)

private fun bearerToken(header: String?): String? =
    header?.takeIf { it.startsWith("Bearer ", ignoreCase = true) }?.substring("Bearer ".length)?.trim()
