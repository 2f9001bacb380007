package boragering.core

import kotlinx.collections.immutable.PersistentMap

/** The catalogue in force on this daemon. Safe for use by several threads. */
fun interface CatalogueSource {
    /** The highest accepted revision that this daemon knows, `null` before the first one. */
    fun current(): Catalogue?
}

/** The divisions that this daemon knows. Safe for use by several threads. */
fun interface DivisionSource {
    /** The newest known division of each domain. */
    fun current(): PersistentMap<FabricDomain, Division>
}
