package boragering.fleet

/** What a target's answer says of the rate of requests that it takes. */
sealed interface RateStatement {
    /** The target takes any rate. */
    data object Unlimited : RateStatement

    /** The target takes [perSecond] requests per second from all gateways together. */
    data class Limited(val perSecond: Double) : RateStatement

    /** The target's statement cannot be read. */
    data class Unreadable(val text: String) : RateStatement

    /** Reads statements. */
    companion object {
        /** Reads the value of the [header], which is `null` if the answer has none. */
        fun of(header: String?): RateStatement {
            val text = header?.trim() ?: return Unlimited
            val rate = text.toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
            return if (rate == null) Unreadable(text.take(MAX_LOGGED_LENGTH)) else Limited(rate)
        }

        private const val MAX_LOGGED_LENGTH = 40
    }
}
