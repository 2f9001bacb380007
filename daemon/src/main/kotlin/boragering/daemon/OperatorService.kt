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

/** What operators can ask of a daemon. */
internal interface OperatorService {
    /** The daemon's state. */
    fun status(): StatusAnswer

    /** All groups with this daemon's view of their health. */
    fun groups(): GroupsAnswer

    /** The events that this daemon holds and that match [query]. */
    fun timeline(query: TimelineQuery): TimelineAnswer

    /** The events of one request. */
    fun request(id: RequestId): RequestAnswer

    /** The live daemons. */
    fun peers(): PeersAnswer

    /** The catalogue in force; an empty one at revision 0 when there is none yet. */
    fun catalogue(): CatalogueAnswer

    /** The accepted changes, `null` when the store cannot be read. */
    suspend fun history(): HistoryAnswer?

    /** Submits a change of the catalogue. */
    suspend fun apply(request: ApplyRequest): ApplyAnswer
}
