package boragering.core.membership

import boragering.core.Clock
import boragering.core.Store
import boragering.core.StoredValue
import kotlinx.serialization.json.Json
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Reads the registrations from the store at startup and then periodically. */
internal class RegistrationReader(
    private val store: Store,
    private val clock: Clock,
    private val isolation: IsolationDetector,
    private val random: Random,
    private val wakeSignal: WakeSignal,
) {
    /** Passes the registrations to [onRead] after each successful read until cancelled. */
    suspend fun run(onRead: suspend (List<Registration>) -> Unit) {
        while (true) {
            val startedAt = clock.monotonic()
            store.range(Registration.KEY_PREFIX).onRight { values ->
                val registrations = values.mapNotNull(::decode)
                isolation.registrationsRead(startedAt, registrations.map { it.daemon }.toSet())
                onRead(registrations)
            }
            wakeSignal.await(random.jittered(if (isolation.isIsolated()) ISOLATED_INTERVAL else INTERVAL))
        }
    }

    private fun decode(value: StoredValue): Registration? = try {
        Json.decodeFromString<Registration>(value.value).takeIf { Registration.key(it.daemon) == value.key }
    } catch (_: IllegalArgumentException) {
        null
    }

    private companion object {
        val INTERVAL = 30.seconds

        /** Shorter, because an isolated daemon learns only from the registrations which peers have ended. */
        val ISOLATED_INTERVAL = 5.seconds
    }
}
