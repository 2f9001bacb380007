package boragering.scenarios

import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** A booking that must run at most once. */
internal fun booking(key: String) = ServiceCall(DemoPlan.SERVICE, "POST", "/orders", "{}", key)

/** Runs [test] on a deployment of [plan] and checks the evidence of the run. */
internal suspend fun scenario(plan: DeploymentPlan = DemoPlan.plan, test: suspend Deployment.() -> Unit) = plan.run {
    test()
    evidence().verify()
}

/** Repeats a booking at the first daemon until it is taken. */
internal suspend fun Deployment.awaitBooking(call: ServiceCall) {
    await("the booking is taken") { caller(daemons[0]).send(call) as? CallOutcome.Complete }
}

/** Runs [action] while one caller at each daemon asks for one completion after the other. */
internal suspend fun Deployment.underLoad(action: suspend () -> Unit) = coroutineScope {
    val callers = daemons.mapIndexed { index, daemon -> launch { ask(daemon, index) } }
    action()
    callers.forEach { it.cancelAndJoin() }
}

private suspend fun Deployment.ask(daemon: DaemonHandle, index: Int): Unit = coroutineScope {
    var number = 0
    while (isActive) {
        val chat = ChatCall(DemoPlan.MODEL, userMessage("question $index/${number++}"), maxTokens = 8)
        caller(daemon).complete(chat)
    }
}
