package boragering.fleet

/** Why a request is not admitted. */
enum class RejectionReason(val text: String) {
    /** The wait would be longer than the request may wait. */
    LONG_WAIT("all targets are full, and too many requests wait"),

    /** The request has waited as long as it may. */
    WAITED("all targets are full, and no capacity became free in time"),

    /** The caller has less time left than others start with, but more than one that comes back as told. */
    PREMATURE("capacity is short, and the request looks repeated too soon"),
}
