package boragering.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain

class SettingsReaderTest : DescribeSpec({
    val listen = """{"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"}"""
    val complete =
        """
        {
          "name": "entry-1", "availabilityZone": "sapporo", "region": "dounai",
          "listen": $listen,
          "platform": {"store": "http://127.0.0.1:4", "liveList": "http://127.0.0.1:5"},
          "peers": {"secretFile": "peer.secret"},
          "operators": {"secretVariable": "OPERATOR_TOKEN"}
        }
        """.trimIndent()

    fun paths(text: String): List<String> =
        SettingsReader.read(text).fold({ findings -> findings.map { it.path } }, { emptyList() })

    describe("complete settings") {
        it("have default values for optional settings that are absent") {
            val settings = checkNotNull(SettingsReader.read(complete).getOrNull())
            settings.groups.holdersPerGroup shouldBe 16
            settings.advertise shouldBe settings.listen
            settings.limits.requestBody shouldBe 1024 * 1024
        }

        it("can advertise a different address for one port, for example that of a proxy") {
            val text = complete.replaceFirst("\"platform\"", "\"advertise\": {\"peers\": \"10.0.0.1:9\"}, \"platform\"")
            val settings = checkNotNull(SettingsReader.read(text).getOrNull())
            settings.advertise.peers shouldBe SocketAddress("10.0.0.1", 9)
            settings.advertise.callers shouldBe settings.listen.callers
        }
    }

    describe("invalid settings") {
        it("are all reported together, each finding with its path") {
            val text =
                complete
                    .replace("\"127.0.0.1:2\"", "\"127.0.0.1\"")
                    .replace("\"peer.secret\"", "\"peer.secret\", \"unknown\": 1")
                    .replace("\"region\": \"dounai\",", "")
                    .replace("\"liveList\"", "\"timeout\": 2, \"liveList\"")
            paths(text) shouldContainExactlyInAnyOrder
                listOf("region", "listen.operators", "platform.timeout", "peers.unknown")
        }

        it("are reported without their values, because a value may be a misplaced secret") {
            val text = complete.replace(
                "\"operators\": {\"secretVariable\": \"OPERATOR_TOKEN\"}",
                "\"operators\": \"hidden\""
            )
            SettingsReader.read(text).leftOrNull().toString() shouldNotContain "hidden"
        }
    }
})
