package boragering.scenarios

import boragering.standins.EngineRecord
import boragering.standins.RecordedWrite
import boragering.standins.ServiceRecord

/** What the stand-ins and the callers have recorded; nothing in it comes from a daemon. */
data class Evidence(
    val engines: List<EngineRecord> = emptyList(),
    val services: List<ServiceRecord> = emptyList(),
    val writes: List<RecordedWrite> = emptyList(),
    val calls: List<CallRecord> = emptyList(),
    val absences: List<Absence> = emptyList(),
) {
    /** Every violation of the invariants that the evidence shows. */
    fun violations(): List<Violation> = listOf(
        SingleRunCheck(this),
        NotRunCheck(this),
        CompleteAnswerCheck(this),
        SingleGroupCheck(this),
        WholeGroupCheck(this),
    ).flatMap { it.violations() }

    /** Fails when there is a violation. */
    fun verify() {
        val found = violations()
        check(
            found.isEmpty()
        ) { found.joinToString("\n", "the evidence shows violations:\n") { "${it.check}: ${it.detail}" } }
    }
}

/** Something that must not happen. */
data class Violation(val check: String, val detail: String)

/** One check of the evidence. */
internal fun interface EvidenceCheck {
    /** What the evidence shows to be wrong. */
    fun violations(): List<Violation>
}
