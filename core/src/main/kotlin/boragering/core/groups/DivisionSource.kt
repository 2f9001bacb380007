package boragering.core.groups

import boragering.core.FabricDomain
import kotlinx.collections.immutable.PersistentMap

/** The divisions that this daemon knows. Safe for use by several threads. */
fun interface DivisionSource {
    /** The newest known division of each domain. */
    fun current(): PersistentMap<FabricDomain, Division>
}
