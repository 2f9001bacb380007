package boragering.gateway

/**
 * Passes changes to [listener], and logs those at which it fails. A document with unexpected content then does not keep
 * this gateway from following the others.
 */
class GuardedListener(private val log: DecisionLog, private val listener: DocumentMirrorListener) :
    DocumentMirrorListener {
    // Decoders can fail with any type of exception, and run out of stack, on what another program wrote.
    @Suppress("TooGenericExceptionCaught")
    override fun onChange(change: DocumentChange) = try {
        listener.onChange(change)
    } catch (failure: RuntimeException) {
        logFailure(change, failure)
    } catch (failure: StackOverflowError) {
        logFailure(change, failure)
    }

    private fun logFailure(change: DocumentChange, failure: Throwable) =
        log.event("document-not-applied", "key" to change.key, "revision" to change.revision, "reason" to failure)
}
