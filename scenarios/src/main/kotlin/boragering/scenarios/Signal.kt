package boragering.scenarios

/** Signals that scenarios send to processes. */
enum class Signal(internal val option: String) {
    /** Ends the process at once. */
    KILL("-KILL"),

    /** Pauses the process. */
    STOP("-STOP"),

    /** Resumes a paused process. */
    CONTINUE("-CONT"),

    /** Asks the process to end. */
    TERMINATE("-TERM"),
}
