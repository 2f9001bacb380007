package boragering.core.catalogue

/** The catalogue in force on this daemon. Safe for use by several threads. */
fun interface CatalogueSource {
    /** The highest accepted revision that this daemon knows, or `null` if it knows none yet. */
    fun current(): Catalogue?
}
