package boragering.daemon

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.RoutingPipelineCall
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** The connections of callers. */
internal object CallerConnections {
    /** Time for what was written before to reach the connection; it is not needed for the answer to look broken. */
    private val FLUSH_TIME = 100.milliseconds

    /**
     * Closes the connection of [call] without ending its answer, so that a broken answer never looks complete. A failed
     * response does not always close the connection by itself, and the caller would wait for the rest.
     */
    suspend fun close(call: ApplicationCall) {
        delay(FLUSH_TIME)
        val pipelineCall = (call as? RoutingCall)?.pipelineCall
        val engineCall = (pipelineCall as? RoutingPipelineCall)?.engineCall
        (engineCall as? NettyApplicationCall)?.context?.close()
    }
}
