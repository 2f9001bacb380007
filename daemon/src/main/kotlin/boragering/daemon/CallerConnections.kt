package boragering.daemon

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.RoutingPipelineCall
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Closes connections of callers whose answers failed after their start. */
internal object CallerConnections {
    /**
     * Delay before the connection is closed, so that data written earlier can be sent. The caller recognises the answer
     * as incomplete without this delay too.
     */
    private val FLUSH_TIME = 100.milliseconds

    /**
     * Closes the connection of [call] without ending its answer, so that an incomplete answer never looks complete. A
     * failed response does not always close the connection by itself; the caller would then wait for the rest.
     */
    suspend fun close(call: ApplicationCall) {
        delay(FLUSH_TIME)
        val pipelineCall = (call as? RoutingCall)?.pipelineCall
        val engineCall = (pipelineCall as? RoutingPipelineCall)?.engineCall
        (engineCall as? NettyApplicationCall)?.context?.close()
    }
}
