package boragering.core.catalogue

/** Checks that concern several parts of the operators' document. */
internal object CatalogueValidation {
    /** Names and token hashes are unique, since a token must identify one organisation. */
    fun checkOrganisations(results: List<Pair<ObjectReader, Organisation?>>) {
        duplicates(results) { it.name }.forEach { it.addFinding("name", "repeats an earlier organisation", "a unique name") }
        duplicates(results) { it.tokenHash }.forEach { reader ->
            reader.addFinding("tokenHash", "is also the hash of an earlier organisation", "a token of its own")
        }
    }

    /**
     * Names are unique. Several models may share a pool, since an engine loads any of them, if they state the same
     * about its fencing. A service has its pool to itself, since an instance of it serves exactly one entry.
     */
    fun checkEntries(results: List<Pair<ObjectReader, Entry?>>) {
        duplicates(results) { it.name }.forEach { it.addFinding("name", "repeats an earlier entry", "a unique name") }
        val complete = results.mapNotNull { (reader, entry) -> entry?.let { reader to it } }
        complete.groupBy { it.second.pool }.values.forEach { poolEntries ->
            val firstEntry = poolEntries.first().second
            poolEntries.drop(1).forEach { (reader, entry) -> checkPool(reader, firstEntry, entry) }
        }
    }

    private fun checkPool(reader: ObjectReader, firstEntry: Entry, entry: Entry) {
        if (firstEntry !is ModelEntry || entry !is ModelEntry) {
            reader.addFinding("pool", "is also the pool of ${firstEntry.name}", "a pool of its own unless both are models")
        } else if (firstEntry.enforcesFencing != entry.enforcesFencing) {
            val message = "differs from ${firstEntry.name}, whose engines are the same"
            reader.addFinding("enforcesFencing", message, firstEntry.enforcesFencing.toString())
        }
    }

    private fun <T : Any, K> duplicates(results: List<Pair<ObjectReader, T?>>, key: (T) -> K): List<ObjectReader> =
        results.mapNotNull { (reader, value) -> value?.let { reader to key(it) } }
            .groupBy { it.second }
            .values
            .flatMap { same -> same.drop(1).map { it.first } }
}
