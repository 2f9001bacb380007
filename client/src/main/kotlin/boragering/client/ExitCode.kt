package boragering.client

/** How the program ends, for scripts; the position in the list is the exit code. */
enum class ExitCode(internal val meaning: String) {
    SUCCESS("success"),
    REFUSED("the document has findings, or the daemon refused the request"),
    USAGE("the command line or a file is wrong"),
    UNKNOWN("it is not known whether the change was accepted"),
    UNREACHABLE("no daemon answered, or none reaches the key-value service; nothing was changed"),
    ;

    /** The process's exit code. */
    val code: Int get() = ordinal
}

/** Why a command has no result. */
internal data class CommandFailure(val exitCode: ExitCode, val detail: String)
