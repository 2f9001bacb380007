package boragering.core

import kotlinx.serialization.Serializable

/** How serious a finding is, the most serious first. */
@Serializable
enum class Severity {
    /** The document must not be used. */
    ERROR,

    /** The document can be used, but part of it probably has another effect than the one that is meant. */
    WARNING,

    /** Something to know that needs no change. */
    NOTICE,
}
