package boragering.core.requests

import boragering.core.EntryName
import boragering.core.SharedRandom
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Admission of requests to all entries. Safe for use by several threads. */
class AdmissionController(
    private val ports: RequestPorts,
    selection: ReplicaSelection = ReplicaSelection.PowerOfTwoChoices,
) {
    private val context = AdmissionContext(ports, SharedRandom(ports.random), selection)
    private val entries = ConcurrentHashMap<EntryName, EntryAdmission>()

    /** Numbers of [entry]'s requests on this daemon. */
    fun counts(entry: EntryName): AdmissionCounts = entries[entry]?.counts ?: AdmissionCounts(0, 0)

    /** Tells that targets may have become usable, so that waiting requests get them at once. */
    fun onTargetsChanged() = entries.forEach { (name, admission) -> admission.dispatch(name) }

    /**
     * Looks for usable targets until cancelled, since the evidence for a target also changes without a message, and
     * forgets entries that are no longer in the catalogue.
     */
    suspend fun run() {
        while (true) {
            delay(DISPATCH_INTERVAL)
            onTargetsChanged()
            val catalogue = ports.catalogue.current()
            entries.entries.removeAll { (name, admission) ->
                catalogue != null && name !in catalogue.entries && admission.counts == AdmissionCounts(0, 0)
            }
        }
    }

    /** The admission of [plan]'s entry; a request uses the same one to its end. */
    internal fun forEntry(plan: RequestPlan): EntryAdmission =
        entries.computeIfAbsent(plan.entry.name) { EntryAdmission(context) }

    private companion object {
        val DISPATCH_INTERVAL = 50.milliseconds
    }
}
