package boragering.daemon

import boragering.core.RequestId
import boragering.core.catalogue.ApplyAnswer
import boragering.core.catalogue.ApplyRequest
import boragering.core.catalogue.CatalogueAnswer
import boragering.core.catalogue.HistoryAnswer
import boragering.core.groups.GroupsAnswer
import boragering.core.operators.PeersAnswer
import boragering.core.operators.RequestAnswer
import boragering.core.operators.StatusAnswer
import boragering.core.operators.TimelineAnswer
import boragering.core.timeline.TimelineQuery

/** The queries and catalogue changes that a daemon answers for operators. */
internal interface OperatorService {
    /** Returns the state of the daemon and of the catalogue entries. */
    fun status(): StatusAnswer

    /** Returns all groups with their health as this daemon sees it. */
    fun groups(): GroupsAnswer

    /** Returns the events held by this daemon that match [query]. */
    fun timeline(query: TimelineQuery): TimelineAnswer

    /** Returns the events that this daemon holds about request [id]. */
    fun request(id: RequestId): RequestAnswer

    /** Returns the daemons that this daemon regards as live. */
    fun peers(): PeersAnswer

    /** Returns the current catalogue, or an empty one with revision 0 when this daemon has none yet. */
    fun catalogue(): CatalogueAnswer

    /** Returns the accepted catalogue changes, or `null` when the store cannot be read. */
    suspend fun history(): HistoryAnswer?

    /** Submits a catalogue change and returns whether it was accepted. */
    suspend fun apply(request: ApplyRequest): ApplyAnswer
}
