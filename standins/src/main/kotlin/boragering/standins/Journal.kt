package boragering.standins

import java.io.FileOutputStream
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText

/**
 * Appends records to [file], one JSON object per line, so that they outlive a killed process. Each line holds only what
 * has changed. Without a file nothing is written.
 */
internal class Journal(file: String) {
    private val output = if (file.isEmpty()) null else FileOutputStream(file, true)

    /** Appends what has changed on an engine. */
    fun append(record: EngineRecord) = write { standInJson.encodeToString(record) }

    /** Appends what has changed on an instance of a plain service. */
    fun append(record: ServiceRecord) = write { standInJson.encodeToString(record) }

    @Synchronized
    private fun write(line: () -> String) {
        output?.write("${line()}\n".encodeToByteArray())
    }
}

/** One engine's part of a journal. */
internal class EngineJournal(id: String, incarnation: String, private val journal: Journal) {
    private val empty = EngineRecord(id, incarnation)

    init {
        journal.append(empty)
    }

    fun append(run: RunRecord) = journal.append(empty.copy(requests = listOf(run)))

    fun append(refusal: RefusalRecord) = journal.append(empty.copy(refusals = listOf(refusal)))

    fun append(order: OrderRecord) = journal.append(empty.copy(orders = listOf(order)))

    fun append(change: PresenceChange) = journal.append(empty.copy(presence = listOf(change)))
}

/** Reads what engines started with `--journal` have recorded so far, one record for each incarnation. */
fun readEngineJournal(file: Path): List<EngineRecord> =
    lines(file).map { standInJson.decodeFromString<EngineRecord>(it) }
        .groupBy { it.instance to it.incarnation }.values.map { parts ->
            parts.first().copy(
                requests = parts.flatMap { it.requests }.associateBy { it.index }.values.toList(),
                refusals = parts.flatMap { it.refusals },
                orders = parts.flatMap { it.orders },
                presence = parts.flatMap { it.presence },
            )
        }

/** Reads what plain services started with `--journal` have recorded so far, one record for each incarnation. */
fun readServiceJournal(file: Path): List<ServiceRecord> =
    lines(file).map { standInJson.decodeFromString<ServiceRecord>(it) }
        .groupBy { it.instance to it.incarnation }.values.map { parts ->
            parts.first().copy(
                requests = parts.flatMap { it.requests }.associateBy { it.index }.values.toList(),
                refusals = parts.flatMap { it.refusals },
            )
        }

/** The complete lines of a journal; a process that is writing or was killed can leave a partial one at the end. */
private fun lines(file: Path): List<String> =
    if (file.exists()) file.readText().substringBeforeLast('\n', "").lines().filter { it.isNotEmpty() } else emptyList()
