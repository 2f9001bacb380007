package boragering.fleet

import boragering.core.FabricDomain
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Number of instances in a model's groups in relation to its share of the work. */
private fun FakePool.supply(model: ModelProfile): Double =
    (targets()[model.name] ?: 0) * model.groupSize / model.share

/**
 * Sums up the models' supplies while a pool of six domains loses three instances every three seconds and gets as many
 * new ones.
 */
private class LossyPool(seed: Int) {
    private val random = Random(seed)
    private val pool = FakePool(random, domains = DOMAINS, perDomain = 8)
    val violations get() = pool.violations
    var largeSupply = 0.0
        private set
    var smallSupply = 0.0
        private set

    init {
        pool.run(200.seconds)
        repeat(12) { step ->
            val domain = FabricDomain("d${step % DOMAINS}")
            pool.instances.filter { it.alive && it.domain == domain }.shuffled(random).take(LOSSES).forEach(pool::kill)
            repeat(LOSSES) { pool.add(domain) }
            repeat(6) {
                pool.run(500.milliseconds)
                largeSupply += pool.supply(TestModels.large)
                smallSupply += pool.supply(TestModels.small)
            }
        }
    }

    private companion object {
        const val DOMAINS = 6
        const val LOSSES = 3
    }
}

class ModelBalanceTest : DescribeSpec({
    describe("a pool that constantly loses instances") {
        val pools = (1..20).map(::LossyPool)

        it("keeps the large model supplied for its share (guards against losses that hit only one model)") {
            val large = pools.sumOf { it.largeSupply }
            val small = pools.sumOf { it.smallSupply }
            large / small shouldBeGreaterThan 0.66
        }

        it("never violates the invariants between groups") {
            pools.flatMap { it.violations }.shouldBeEmpty()
        }
    }
})
