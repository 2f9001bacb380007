package boragering.scenarios

/** The deployment that the demo program shows: a small Kitaspike. */
internal object DemoPlan {
    const val MODEL = "kotoba-pool"
    const val SERVICE = "orders-app"
    const val REPLICAS = 2

    private const val GROUP_SIZE = 4
    private const val ENGINES_PER_DOMAIN = GROUP_SIZE + 1
    private const val SERVICE_INSTANCES = 3
    private const val CONCURRENCY = 64
    private const val QUEUE_LENGTH = 256
    private const val REQUESTS_PER_SECOND = 50
    private const val OUTPUT_TOKENS = 2048
    private val zones = listOf("sapporo", "asahikawa", "hakodate")

    private val model = EntryDocument(
        name = MODEL,
        owner = "kitaspike-models",
        kind = "model",
        pool = "kotoba-gpu",
        requestClass = ClassDocument("urgent", "mixed", repeatable = true),
        limits = LimitsDocument(
            CONCURRENCY,
            QUEUE_LENGTH,
            queueTime = "2s",
            deadline = "60s",
            REQUESTS_PER_SECOND,
            GROUP_SIZE,
            REPLICAS,
            OUTPUT_TOKENS,
        ),
        model = "kotoba-8b",
        modelVersion = "3",
        enforcesFencing = true,
    )

    private val service = EntryDocument(
        name = SERVICE,
        owner = "kitaspike-orders",
        kind = "service",
        pool = SERVICE,
        requestClass = ClassDocument("normal", "short", repeatable = false),
        limits = LimitsDocument(CONCURRENCY, QUEUE_LENGTH, queueTime = "2s", deadline = "10s", REQUESTS_PER_SECOND),
        claimRetention = "24h",
        routes = listOf(
            RouteDocument("POST", "/orders", repeatable = false),
            RouteDocument("GET", "/orders/{id}", repeatable = true),
        ),
    )

    /** Two groups of four engines with a spare engine in each domain, a plain service, and one daemon in each zone. */
    val plan: DeploymentPlan = deployment {
        organisation("sapporo-roofing")
        entry(model)
        entry(service)
        zones.take(2).forEach { zone ->
            engines("kotoba-gpu", "$zone-rack", ENGINES_PER_DOMAIN) { availabilityZone = zone }
        }
        services(SERVICE, "${zones.last()}-rack", SERVICE_INSTANCES) { availabilityZone = zones.last() }
        zones.forEachIndexed { index, zone -> daemon("entry-${index + 1}", zone) }
    }
}
