package boragering.adapters

/** Placeholder. */
internal const val PLACEHOLDER = 1
