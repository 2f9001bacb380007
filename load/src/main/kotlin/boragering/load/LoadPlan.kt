package boragering.load

import boragering.scenarios.ClassDocument
import boragering.scenarios.DeploymentPlan
import boragering.scenarios.EntryDocument
import boragering.scenarios.LimitsDocument
import boragering.scenarios.RequestSettings
import boragering.scenarios.deployment

private const val QUEUE_LENGTH = 1024

/** High enough that no organisation is ever limited: these runs measure placement and queues. */
private const val UNLIMITED_RATE = 10_000

/** The deployment that [workload] runs against; its daemons place requests by the policy [selection]. */
internal fun loadPlan(workload: Workload, selection: String): DeploymentPlan = with(workload.deployment) {
    deployment {
        region = this@with.region
        workload.organisations.forEach { organisation(it.name) }
        entry(modelEntry(workload))
        engines(pool, "${zones.first()}-rack", replicas * groupSize) {
            availabilityZone = zones.first()
            // One process for all engines keeps the number of processes and the memory small.
            sharedProcess = true
            option("slots", slots)
            option("first-token-time", firstTokenTime)
            option("token-time", tokenTime)
            option("report-lag", reportLag)
        }
        zones.forEachIndexed { index, zone ->
            daemon("entry-${index + 1}", zone) { settings { copy(requests = RequestSettings(selection)) } }
        }
    }
}

private fun modelEntry(workload: Workload) = with(workload.deployment) {
    EntryDocument(
        name = entry,
        owner = "load",
        kind = "model",
        pool = pool,
        requestClass = ClassDocument("urgent", "mixed", repeatable = true),
        limits = LimitsDocument(
            replicas * slots * 2,
            QUEUE_LENGTH,
            queueTime = queueTime,
            deadline = "60s",
            UNLIMITED_RATE,
            groupSize,
            replicas,
            workload.requests.longTokens,
        ),
        model = entry,
        modelVersion = "1",
        enforcesFencing = true,
    )
}
