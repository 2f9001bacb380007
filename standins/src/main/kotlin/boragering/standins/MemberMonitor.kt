package boragering.standins

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerializationException
import java.io.IOException
import kotlin.time.Duration

/** A leader's pings of the other members of its group. */
internal class MemberMonitor(
    private val id: String,
    private val scope: CoroutineScope,
    private val client: HttpClient,
    private val interval: Duration,
    private val timeout: Duration,
) {
    private val state = MutableStateFlow(false)
    private var job: Job? = null

    /** Whether all members answered the latest pings with the leader's group and fencing number. */
    val present: StateFlow<Boolean> = state.asStateFlow()

    /** Called with the order that names the members when they are all present, and when one of them is missing. */
    var changed: (EngineOrder, Boolean) -> Unit = { _, _ -> }

    /** Starts to ping the members of [order]; replaces what was watched before. */
    @Synchronized
    fun watch(order: EngineOrder) {
        job?.cancel()
        job = scope.launch {
            while (true) {
                val present = order.members.filter { it.instance != id }.all(order)
                if (update(coroutineContext.job, present)) changed(order, present)
                delay(interval)
            }
        }
    }

    /** Stops pinging; no members count as present. */
    @Synchronized
    fun stop() {
        job?.cancel()
        job = null
        state.value = false
    }

    /** Sets the result of a round unless its job was replaced meanwhile; true when it has changed. */
    @Synchronized
    private fun update(round: Job, present: Boolean): Boolean =
        round === job && state.compareAndSet(!present, present)

    private suspend fun List<EngineMember>.all(order: EngineOrder): Boolean = coroutineScope {
        map { async { answers(it, order) } }.awaitAll().all { it }
    }

    private suspend fun answers(member: EngineMember, order: EngineOrder): Boolean = try {
        val text = withTimeout(timeout) { client.get("http://${member.address}/status").bodyAsText() }
        val status = standInJson.decodeFromString<EngineStatus>(text)
        val serves = status.phase == EnginePhase.READY || status.phase == EnginePhase.DRAINING
        serves && status.instance == member.instance && status.group == order.group && status.fence == order.fence
    } catch (_: TimeoutCancellationException) {
        false
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: IOException) {
        false
    } catch (_: SerializationException) {
        false
    }
}
