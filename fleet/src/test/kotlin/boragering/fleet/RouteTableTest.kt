package boragering.fleet

import boragering.core.OrganisationName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration.Companion.seconds

class RouteTableTest : DescribeSpec({
    fun route(host: String, prefix: String) = Route(
        name = "$host$prefix",
        host = host,
        prefix = prefix,
        repeatability = Repeatability.IDEMPOTENT,
        split = persistentListOf(),
        attempts = 1,
        timeout = 1.seconds,
        targetLatency = 1.seconds,
    )

    fun table(vararg routes: Route) = RouteTable(
        Configuration(
            version = 1,
            routes = routes.toList().toPersistentList(),
            services = persistentMapOf(),
            limits = CallerLimits(1, 1, 1.seconds, 1.seconds),
            organisations = persistentListOf(Organisation(OrganisationName("o"), persistentSetOf("k1", "k2"))),
        ),
    )

    describe("a path") {
        val table = table(route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/"))

        listOf(
            "/x/1" to "a.example/x/",
            "/x/y/1" to "a.example/x/y/",
            "/x/y" to "a.example/x/"
        ).forEach { (path, name) ->
            it("$path selects the longest prefix of its host (guards against routing to the wrong service)") {
                table.route("a.example", path)?.name shouldBe name
            }
        }

        it("matches whole path segments only (guards against /xy matching /x/)") {
            table.route("a.example", "/xy/1").shouldBeNull()
        }

        it("is not matched on another host (guards against routes that apply to foreign hosts)") {
            table.route("c.example", "/x/1").shouldBeNull()
        }

        it("is matched regardless of the host's case and port (guards against refusing valid requests)") {
            table.route("A.Example:80", "/x/1")?.name shouldBe "a.example/x/"
            table.route("b.example", "/anything")?.name shouldBe "b.example/"
        }
    }

    describe("an API key") {
        it("identifies its organisation only if it is known (guards against refused or foreign keys)") {
            table().organisation("k2")?.name shouldBe OrganisationName("o")
            table().organisation("k3").shouldBeNull()
            table().organisation(null).shouldBeNull()
        }
    }
})
