package boragering.fleet

/** A value of a route, service or organisation, for the comparison of two configurations. */
sealed interface ComparedValue {
    /** A value that is shown as it is. */
    data class Text(val content: String) : ComparedValue

    /** The API keys of an organisation. It has no text form, since keys must not be shown in full. */
    class Keys(val keys: Set<String>) : ComparedValue
}

/** The values of one route, service or organisation, by their names. */
typealias ComparedEntry = Map<String, ComparedValue>
