package boragering.gateway

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.Logger
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.Property
import org.apache.logging.log4j.message.StringMapMessage
import java.util.concurrent.CopyOnWriteArrayList

/** Records the lines of the decision log until it is closed. */
internal class RecordedLog : AutoCloseable {
    private val messages = CopyOnWriteArrayList<Map<String, String>>()
    private val logger = LogManager.getLogger("boragering.decisions") as Logger
    private val appender = object : AbstractAppender("recorded", null, null, true, Property.EMPTY_ARRAY) {
        override fun append(event: LogEvent) {
            (event.message as? StringMapMessage)?.let { messages += it.data.toMap() }
        }
    }

    init {
        appender.start()
        Configurator.setLevel(logger, Level.INFO)
        logger.addAppender(appender)
    }

    /** The fields of the lines about [event]. */
    fun lines(event: String): List<Map<String, String>> = messages.filter { it["event"] == event }

    override fun close() = logger.removeAppender(appender)
}
