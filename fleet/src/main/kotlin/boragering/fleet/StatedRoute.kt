package boragering.fleet

/** A route with its stated number of [attempts], and whether its document states a priority. */
data class StatedRoute(val route: Route, val attempts: Int, val statesPriority: Boolean)
