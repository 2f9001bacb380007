package boragering.fleet

import boragering.core.OrganisationName
import kotlin.time.Duration.Companion.milliseconds

/**
 * The callers that this gateway has rejected, so that a first attempt that arrives late is not taken for a repetition
 * where this is the only gateway. A caller is recognised by its organisation, its urgency and its deadline, which all
 * its attempts share. An attempt whose transit takes over 5 ms longer is not recognised, nor is one after a restart;
 * where a caller waits longer than the route's timeout allows, deadlines differ. Not thread-safe.
 */
class RejectedCallers {
    private val callers = RecentMap<Caller, Unit>(MAX_CALLERS)

    private data class Caller(val organisation: OrganisationName?, val urgency: Int, val deadlineSlot: Long)

    /** Records that a request with [admission] was rejected. */
    fun add(admission: AdmissionRequest) {
        callers[callerOf(admission, offset = 0)] = Unit
    }

    /**
     * Returns [admission], which arrived at one of [gateways], as a first attempt if this is the only gateway and has
     * not rejected its caller.
     */
    fun correct(admission: AdmissionRequest, gateways: Int): AdmissionRequest {
        if (gateways > 1 || admission.caller == CallerAttempt.First) return admission
        val rejected = (-1L..1L).any { callers[callerOf(admission, it)] != null }
        return if (rejected) admission else admission.copy(caller = CallerAttempt.First)
    }

    private fun callerOf(admission: AdmissionRequest, offset: Long): Caller {
        val slot = admission.deadline.inWholeMilliseconds / DEADLINE_SLOT.inWholeMilliseconds
        return Caller(admission.organisation, admission.urgency, slot + offset)
    }

    private companion object {
        /** The rejections of 10 s, the longest time for which callers usually wait, at 400 per second. */
        const val MAX_CALLERS = 4_096

        /** Differences in transit and rounding between the deadlines of one caller's attempts. */
        val DEADLINE_SLOT = 5.milliseconds
    }
}
