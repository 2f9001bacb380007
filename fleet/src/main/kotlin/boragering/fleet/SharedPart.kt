package boragering.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** A part of the prompts of requests to [service]. Pools run different engines, so each pool is judged by itself. */
data class SharedPart(val service: ServiceName, val part: PromptPart) {
    override fun toString(): String = "$service/$part"

    /** Creates shared parts. */
    companion object {
        /** The [parts] of a prompt that is sent to [service], in order. */
        fun of(service: ServiceName, parts: List<PromptPart>): PersistentList<SharedPart> =
            parts.map { SharedPart(service, it) }.toPersistentList()
    }
}
