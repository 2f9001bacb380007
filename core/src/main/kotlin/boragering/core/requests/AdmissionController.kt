package boragering.core.requests

import boragering.core.EntryName
import boragering.core.ThreadSafeRandom
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Admits requests to all entries: rate limits, queues and slots. Thread-safe. */
class AdmissionController(
    private val ports: RequestPorts,
    selection: ReplicaSelection = ReplicaSelection.PowerOfTwoChoices,
) {
    private val context = AdmissionContext(ports, ThreadSafeRandom(ports.random), selection)
    private val entries = ConcurrentHashMap<EntryName, EntryAdmission>()

    /** Numbers of queued and running requests of [entry] on this daemon. */
    fun counts(entry: EntryName): AdmissionCounts = entries[entry]?.counts ?: AdmissionCounts(0, 0)

    /** Grants slots to waiting requests. Call this function when targets may have become usable. */
    fun onTargetsChanged() = entries.forEach { (name, admission) -> admission.dispatch(name) }

    /**
     * Grants free slots every [DISPATCH_INTERVAL] until cancelled, because the evidence for the state of a target also
     * changes without a message. Also removes idle entries that are no longer in the catalogue.
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

    /** Returns the admission of [plan]'s entry. A request uses the same instance until it ends. */
    internal fun forEntry(plan: RequestPlan): EntryAdmission =
        entries.computeIfAbsent(plan.entry.name) { EntryAdmission(context) }

    private companion object {
        val DISPATCH_INTERVAL = 50.milliseconds
    }
}
