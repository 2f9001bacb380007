package boragering.standins

import kotlinx.coroutines.Job

/** The requests that an engine has accepted or refused. */
internal class EngineRuns(private val journal: EngineJournal) {
    /** A request with its changing record; [cancel] ends it. */
    inner class Run(initial: RunRecord, private val job: Job) {
        private var record = initial

        /** What is known about the request. */
        val now: RunRecord get() = synchronized(lock) { record }

        /** Changes the record. */
        fun note(change: RunRecord.() -> RunRecord) = synchronized(lock) { record = record.change() }

        /** Changes the record, also in the journal. */
        fun publish(change: RunRecord.() -> RunRecord) = synchronized(lock) {
            note(change)
            journal.append(record)
        }

        /** Sets how the request ended, unless that is known already. */
        fun end(how: RunEnd) = synchronized(lock) {
            if (record.end == RunEnd.RUNNING) publish { copy(end = how, ended = System.currentTimeMillis()) }
        }

        /** Ends the request early. */
        fun cancel(how: RunEnd) {
            end(how)
            job.cancel()
        }
    }

    private val lock = Any()
    private val runs = mutableListOf<Run>()
    private val active = LinkedHashSet<Run>()
    private val refusals = mutableListOf<RefusalRecord>()

    /** Number of requests that have not ended. */
    val activeCount: Int get() = synchronized(lock) { active.size }

    /** All requests in the order of their acceptance. */
    fun records(): List<RunRecord> = synchronized(lock) { runs.map { it.now } }

    /** All refusals in order. */
    fun refusals(): List<RefusalRecord> = synchronized(lock) { refusals.toList() }

    /** Adds an accepted request that runs in [job]. */
    fun accept(record: RunRecord, job: Job): Run = synchronized(lock) {
        Run(record.copy(index = runs.size), job).also {
            runs += it
            active += it
            journal.append(it.now)
        }
    }

    /** Notes that [run]'s coroutine has ended. */
    fun finish(run: Run) = synchronized(lock) { active -= run }

    /** Adds a refused request. */
    fun refuse(refusal: RefusalRecord) = synchronized(lock) {
        refusals += refusal
        journal.append(refusal)
    }

    /** Ends all requests, or those with the identity [request]. */
    fun cancel(how: RunEnd, request: String? = null) =
        synchronized(lock) { active.filter { request == null || it.now.request == request } }.forEach { it.cancel(how) }

    /** The identity of the latest request other than [request]. */
    fun otherIdentity(request: String): String = synchronized(lock) {
        runs.asReversed().firstOrNull { it.now.request != request }?.now?.request ?: "other-$request"
    }
}
