package boragering.scenarios

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a condition may take by default. Starting a process takes seconds on a machine that is busy. */
val conditionLimit: Duration = 60.seconds

/** How long one control call may take. */
internal val callLimit: Duration = 10.seconds

private val checkInterval = 50.milliseconds

/** [what] did not come true within [limit]; [lastFailure] says why the last check could not be made. */
class ConditionNotMet(val what: String, val limit: Duration, val lastFailure: String?) :
    IllegalStateException("not within $limit: $what" + lastFailure?.let { " (last check: $it)" }.orEmpty())

/**
 * Repeats [check] until it returns a value. A check that fails with an [IOException] counts as not yet met.
 *
 * @throws ConditionNotMet after [limit].
 */
suspend fun <T : Any> await(what: String, limit: Duration = conditionLimit, check: suspend () -> T?): T {
    var failure: String? = null
    val met = withTimeoutOrNull(limit) {
        var value: T? = null
        while (value == null) {
            try {
                value = check()
            } catch (unavailable: IOException) {
                failure = "$unavailable"
            }
            if (value == null) delay(checkInterval)
        }
        value
    }
    return met ?: throw ConditionNotMet(what, limit, failure)
}

/** Waits until [check] is true. */
suspend fun awaitTrue(what: String, limit: Duration = conditionLimit, check: suspend () -> Boolean) {
    await(what, limit) { check().takeIf { it } }
}
