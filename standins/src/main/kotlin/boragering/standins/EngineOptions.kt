package boragering.standins

import org.kohsuke.args4j.Option
import org.kohsuke.args4j.spi.ExplicitBooleanOptionHandler

/** Options of the stand-ins that can run several instances in one process. */
internal open class InstanceOptions : PortOptions() {
    @field:Option(name = "--id", usage = "instance id; with --count, the prefix of the ids")
    var id: String = "instance"

    @field:Option(name = "--count", usage = "number of instances, on successive ports when --port is not 0")
    var count: Int = 1

    @field:Option(name = "--slots", usage = "requests that run at once")
    var slots: Int = DEFAULT_SLOTS

    @field:Option(name = "--queue", usage = "requests that wait before new ones are refused")
    var queue: Int = DEFAULT_QUEUE

    @field:Option(name = "--journal", usage = "file that records are appended to as they change")
    var journal: String = ""

    /** The id of the instance at [index]. */
    fun instanceId(index: Int): String = if (count == 1) id else "$id-$index"

    /** The port of the instance at [index], 0 to choose. */
    fun instancePort(index: Int): Int = if (port == 0) 0 else port + index

    private companion object {
        const val DEFAULT_SLOTS = 8
        const val DEFAULT_QUEUE = 1000
    }
}

/** Options of engines; durations have units. */
internal class EngineOptions : InstanceOptions() {
    @field:Option(name = "--token-time", usage = "time between tokens")
    var tokenTime: String = "20ms"

    @field:Option(name = "--first-token-time", usage = "fixed part of the time to the first token")
    var firstTokenTime: String = "20ms"

    @field:Option(name = "--prompt-token-time", usage = "time to the first token per prompt token that is not cached")
    var promptTokenTime: String = "0ms"

    @field:Option(name = "--cache-blocks", usage = "capacity of the prefix cache in blocks of 16 tokens")
    var cacheBlocks: Int = DEFAULT_CACHE_BLOCKS

    @field:Option(name = "--load-time", usage = "time to load weights that are not loaded yet")
    var loadTime: String = "500ms"

    @field:Option(name = "--join-time", usage = "time to join a group with loaded weights")
    var joinTime: String = "100ms"

    @field:Option(name = "--loads-at-once", usage = "weight loads at once in this process, 0 for no limit")
    var loadsAtOnce: Int = 0

    @field:Option(
        name = "--enforce-fencing",
        usage = "whether stale orders and requests are refused",
        handler = ExplicitBooleanOptionHandler::class,
    )
    var enforceFencing: Boolean = true

    @field:Option(name = "--report-lag", usage = "age of running and queued in reports")
    var reportLag: String = "0ms"

    @field:Option(name = "--ping-interval", usage = "time between a leader's pings of its members")
    var pingInterval: String = "250ms"

    @field:Option(name = "--ping-timeout", usage = "time after which a member counts as missing")
    var pingTimeout: String = "1s"

    private companion object {
        const val DEFAULT_CACHE_BLOCKS = 1024
    }
}
