package boragering.fleet

/**
 * The load of a model as a gateway observes it.
 *
 * @property requests the requests that would be in progress at once at the model's groups if all callers were served.
 * @property unservedShare the fraction of requests for which no group had capacity.
 */
data class ModelLoad(val requests: Double, val unservedShare: Double = 0.0)
