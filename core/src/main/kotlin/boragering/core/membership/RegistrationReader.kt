package boragering.core.membership

import boragering.core.Clock
import boragering.core.Store
import boragering.core.StoredValue
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Reads the registrations from the store at the start and then repeatedly. */
internal class RegistrationReader(
    private val store: Store,
    private val clock: Clock,
    private val isolation: Isolation,
    private val random: Random,
    private val wake: Wake,
) {
    /** Passes the registrations to [take] after each read until cancelled. */
    suspend fun run(take: suspend (List<Registration>) -> Unit) {
        while (true) {
            val startedAt = clock.monotonic()
            store.range(Registration.KEY_PREFIX).onRight { values ->
                val registrations = values.mapNotNull(::decode)
                isolation.registrationsRead(startedAt, registrations.map { it.daemon }.toSet())
                take(registrations)
            }
            wake.await(random.jittered(if (isolation.isolated()) ISOLATED_INTERVAL else INTERVAL))
        }
    }

    private fun decode(value: StoredValue): Registration? = try {
        Json.decodeFromString<Registration>(value.value).takeIf { Registration.key(it.daemon) == value.key }
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        val INTERVAL = 30.seconds

        /** A daemon that hears no peer learns only from the registrations which of them are gone. */
        val ISOLATED_INTERVAL = 5.seconds
    }
}
