package boragering.core.catalogue

/** Checks that concern several parts of the operators' document. */
internal object CatalogueChecks {
    /** Names and token hashes are unique, since a token must identify one organisation. */
    fun organisations(read: List<Pair<ObjectReader, Organisation?>>) {
        repeated(read) { it.name }.forEach { it.fault("name", "repeats an earlier organisation", "a unique name") }
        repeated(read) { it.tokenHash }.forEach { reader ->
            reader.fault("tokenHash", "is also the hash of an earlier organisation", "a token of its own")
        }
    }

    /**
     * Names are unique. Several models may share a pool, since an engine loads any of them, if they state the same
     * about its fencing. A service has its pool to itself, since an instance of it serves exactly one entry.
     */
    fun entries(read: List<Pair<ObjectReader, Entry?>>) {
        repeated(read) { it.name }.forEach { it.fault("name", "repeats an earlier entry", "a unique name") }
        val complete = read.mapNotNull { (reader, entry) -> entry?.let { reader to it } }
        complete.groupBy { it.second.pool }.values.forEach { sharing ->
            val first = sharing.first().second
            sharing.drop(1).forEach { (reader, entry) -> checkPool(reader, first, entry) }
        }
    }

    private fun checkPool(reader: ObjectReader, first: Entry, entry: Entry) {
        if (first !is ModelEntry || entry !is ModelEntry) {
            reader.fault("pool", "is also the pool of ${first.name}", "a pool of its own unless both are models")
        } else if (first.enforcesFencing != entry.enforcesFencing) {
            val message = "differs from ${first.name}, whose engines are the same"
            reader.fault("enforcesFencing", message, first.enforcesFencing.toString())
        }
    }

    private fun <T : Any, K> repeated(read: List<Pair<ObjectReader, T?>>, key: (T) -> K): List<ObjectReader> =
        read.mapNotNull { (reader, value) -> value?.let { reader to key(it) } }
            .groupBy { it.second }
            .values
            .flatMap { same -> same.drop(1).map { it.first } }
}
