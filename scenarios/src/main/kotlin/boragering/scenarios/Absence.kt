package boragering.scenarios

import kotlinx.serialization.Serializable
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A time in which the driver kept an instance from working, in wall-clock milliseconds; without [until] it lasts on.
 */
@Serializable
data class Absence(val instance: String, val from: Long, val until: Long? = null)

/** The absences that the driver has caused. */
internal class AbsenceLog {
    private val absences = CopyOnWriteArrayList<Absence>()

    val all: List<Absence> get() = absences.toList()

    /** Notes that [instance] stops to work now, unless it has already. */
    @Synchronized
    fun begin(instance: String) {
        if (absences.none { it.instance == instance && it.until == null }) {
            absences += Absence(instance, System.currentTimeMillis())
        }
    }

    /** Notes that [instance] works again from now on. */
    @Synchronized
    fun end(instance: String) {
        val now = System.currentTimeMillis()
        absences.replaceAll { if (it.instance == instance && it.until == null) it.copy(until = now) else it }
    }
}
