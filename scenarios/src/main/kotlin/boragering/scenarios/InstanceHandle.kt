package boragering.scenarios

import boragering.standins.EngineFaults
import boragering.standins.EngineRecord
import boragering.standins.EngineStatus
import boragering.standins.ServiceFaults
import boragering.standins.ServiceRecord
import boragering.standins.ServiceStatus
import boragering.standins.readEngineJournal
import boragering.standins.readServiceJournal
import java.nio.file.Path

/** Where and how one instance runs. */
internal class InstancePlace(
    val launcher: Launcher,
    val standIn: StandInProcess,
    val index: Int,
    val journal: Path,
    val absences: AbsenceLog,
)

/** An engine or an instance of a plain service. */
sealed class InstanceHandle(
    /** The id in the live list. */
    val id: String,
    /** The pool and domain that the instance belongs to. */
    val pool: InstancePool,
    /** The proxy's link to the instance, when its pool is proxied. */
    val link: LinkHandle?,
    internal val place: InstancePlace,
) {
    /** `host:port` of the stand-in itself, also for its control interface. */
    val ownAddress: String get() = place.standIn.addresses[place.index]

    /** `host:port` in the live list. */
    val address: String get() = link?.address ?: ownAddress

    /** Ends the instance at once. */
    fun kill() {
        place.absences.begin(id)
        signal(Signal.KILL)
    }

    /** Pauses the instance. */
    fun pause() {
        place.absences.begin(id)
        signal(Signal.STOP)
    }

    /** Resumes a paused instance as if nothing had happened. */
    fun resume() {
        signal(Signal.CONTINUE)
        place.absences.end(id)
    }

    /** Starts a killed instance again, as another incarnation at the same address. */
    suspend fun restart() {
        place.standIn.process.awaitExit()
        place.absences.end(id)
        place.standIn.restart()
    }

    private fun signal(signal: Signal) {
        check(!pool.sharedProcess) { "$id shares its process with other instances" }
        place.standIn.process.signal(signal)
    }

    internal fun noteReachable(reachable: Boolean) =
        if (reachable) place.absences.end(id) else place.absences.begin(id)
}

/** One engine. */
class EngineHandle internal constructor(id: String, pool: InstancePool, link: LinkHandle?, place: InstancePlace) :
    InstanceHandle(id, pool, link, place) {
    /** What the engine reports. */
    suspend fun status(): EngineStatus = place.launcher.client.read(ownAddress, "/status")

    /** Replaces the engine's faults. */
    suspend fun faults(faults: EngineFaults) {
        place.launcher.client.put(ownAddress, "/control/faults", faults)
        noteReachable(!faults.unreachable)
    }

    /** What the engine has recorded, by incarnation; also readable while it is paused or after its end. */
    fun records(): List<EngineRecord> = readEngineJournal(place.journal).filter { it.instance == id }
}

/** One instance of a plain service. */
class ServiceHandle internal constructor(id: String, pool: InstancePool, link: LinkHandle?, place: InstancePlace) :
    InstanceHandle(id, pool, link, place) {
    /** What the instance reports. */
    suspend fun status(): ServiceStatus = place.launcher.client.read(ownAddress, "/status")

    /** Replaces the instance's faults. */
    suspend fun faults(faults: ServiceFaults) {
        place.launcher.client.put(ownAddress, "/control/faults", faults)
        noteReachable(!faults.unreachable)
    }

    /** What the instance has recorded, by incarnation; also readable while it is paused or after its end. */
    fun records(): List<ServiceRecord> = readServiceJournal(place.journal).filter { it.instance == id }
}
