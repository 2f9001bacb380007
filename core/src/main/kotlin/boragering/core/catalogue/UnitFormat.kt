package boragering.core.catalogue

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Parses and formats durations and sizes with units, as used in settings and in the catalogue. */
object UnitFormat {
    /** Description of a valid duration, for findings. */
    const val DURATION_DESCRIPTION = "a whole number with the unit ms, s, m or h, for example \"500ms\""

    /** Description of a valid size, for findings. */
    const val SIZE_DESCRIPTION = "a whole number with the unit B, KiB, MiB or GiB, for example \"64KiB\""

    private const val KIB = 1024L
    private val QUANTITY = Regex("([0-9]{1,9})([A-Za-z]+)")
    private val DURATIONS = mapOf("h" to 1.hours, "m" to 1.minutes, "s" to 1.seconds, "ms" to 1.milliseconds)
    private val SIZES = mapOf("B" to 1L, "KiB" to KIB, "MiB" to KIB * KIB, "GiB" to KIB * KIB * KIB)

    /** Parses a duration such as `500ms`, `2s`, `5m` or `24h`; the left side describes the valid format. */
    fun duration(text: String): Either<String, Duration> =
        read(text, DURATIONS)?.let { (number, unit) -> (unit * number.toInt()).right() } ?: DURATION_DESCRIPTION.left()

    /** Parses a size such as `64KiB` to bytes; the left side describes the valid format. */
    fun size(text: String): Either<String, Long> =
        read(text, SIZES)?.let { (number, unit) -> (unit * number).right() } ?: SIZE_DESCRIPTION.left()

    /** Formats [duration], a whole number of milliseconds, in the largest unit that needs no fraction. */
    fun text(duration: Duration): String {
        val unit = DURATIONS.entries.firstOrNull { duration.inWholeMilliseconds % it.value.inWholeMilliseconds == 0L }
        return when {
            duration == Duration.ZERO -> "0s"
            unit == null -> "${duration.inWholeMilliseconds}ms"
            else -> "${duration.inWholeMilliseconds / unit.value.inWholeMilliseconds}${unit.key}"
        }
    }

    private fun <T> read(text: String, units: Map<String, T>): Pair<Long, T>? =
        QUANTITY.matchEntire(text)?.destructured?.let { (number, unit) -> units[unit]?.let { number.toLong() to it } }
}
