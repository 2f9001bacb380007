package boragering.core.groups

import boragering.core.FabricDomain
import kotlinx.collections.immutable.PersistentMap

/** Provides the divisions that this daemon knows. Implementations are safe for use by several threads. */
fun interface DivisionSource {
    /** Returns the newest known division of each domain. */
    fun current(): PersistentMap<FabricDomain, Division>
}
