package boragering.core.groups

import arrow.core.Either
import boragering.core.AvailabilityZone
import boragering.core.FabricDomain
import boragering.core.InstanceId
import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The platform's list of live and leaving instances, which lags behind the actual state of the instances. */
interface LiveList {
    /** Reads the whole list. A failure carries a reason for logs and operators. */
    suspend fun read(): Either<LiveListFailure, PersistentList<ListedInstance>>
}

/** The live list could not be read. */
data class LiveListFailure(val reason: String)

/** One instance as the platform lists it; [address] is `host:port`. */
@Serializable
data class ListedInstance(
    val id: InstanceId,
    val address: String,
    val pool: String,
    val fabricDomain: FabricDomain,
    val availabilityZone: AvailabilityZone,
    val state: ListedState,
)

/** State of an instance in the live list. */
@Serializable
enum class ListedState {
    /** The platform has not announced that it will stop the instance. */
    @SerialName("live")
    LIVE,

    /** The platform will stop the instance; it must get no new work. */
    @SerialName("leaving")
    LEAVING,
}
