package boragering.core.catalogue

/** Validation rules that involve several entries or organisations of the operators' document. */
internal object CatalogueValidation {
    /** Checks that names and token hashes are unique; a token must identify one organisation. */
    fun checkOrganisations(results: List<Pair<ObjectReader, Organisation?>>) {
        duplicates(results) { it.name }
            .forEach { it.addFinding("name", "duplicates an earlier organisation", "a unique name") }
        duplicates(results) { it.tokenHash }.forEach { reader ->
            reader.addFinding("tokenHash", "is also the hash of an earlier organisation", "a unique token")
        }
    }

    /**
     * Checks that names are unique and that pools are shared only by models with the same `enforcesFencing` value.
     * Models can share a pool because an engine can load any of them; a service needs its own pool because each of its
     * instances serves exactly one entry.
     */
    fun checkEntries(results: List<Pair<ObjectReader, Entry?>>) {
        duplicates(results) { it.name }
            .forEach { it.addFinding("name", "duplicates an earlier entry", "a unique name") }
        val complete = results.mapNotNull { (reader, entry) -> entry?.let { reader to it } }
        complete.groupBy { it.second.pool }.values.forEach { poolEntries ->
            val firstEntry = poolEntries.first().second
            poolEntries.drop(1).forEach { (reader, entry) -> checkPool(reader, firstEntry, entry) }
        }
    }

    private fun checkPool(reader: ObjectReader, firstEntry: Entry, entry: Entry) {
        if (firstEntry !is ModelEntry || entry !is ModelEntry) {
            reader.addFinding("pool", "is also the pool of ${firstEntry.name}", "its own pool unless both are models")
        } else if (firstEntry.enforcesFencing != entry.enforcesFencing) {
            val message = "differs from ${firstEntry.name}, which shares the pool"
            reader.addFinding("enforcesFencing", message, firstEntry.enforcesFencing.toString())
        }
    }

    private fun <T : Any, K> duplicates(results: List<Pair<ObjectReader, T?>>, key: (T) -> K): List<ObjectReader> =
        results.mapNotNull { (reader, value) -> value?.let { reader to key(it) } }
            .groupBy { it.second }
            .values
            .flatMap { same -> same.drop(1).map { it.first } }
}
