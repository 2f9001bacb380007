package boragering.standins

import io.ktor.http.HttpStatusCode
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.Serializable
import org.kohsuke.args4j.Option
import java.util.concurrent.CopyOnWriteArrayList

/** Options of the proxy. */
internal class ProxyOptions : PortOptions() {
    @field:Option(name = "--target", usage = "host:port to forward to; more links can be added over HTTP")
    var target: String = ""

    @field:Option(name = "--control-port", usage = "port of the control interface, 0 to choose a free one")
    var controlPort: Int = 0
}

/** One link of the proxy. */
@Serializable
data class LinkState(val index: Int, val port: Int, val target: String, val faults: LinkFaults)

/** Body of `POST /control/links`. */
@Serializable
data class LinkRequest(val target: String, val port: Int = 0)

/** Control interface of the proxy: `/control/links` lists and adds links, `/control/links/<index>` sets faults. */
internal class ProxyStandIn(private val scope: CoroutineScope, private val selector: SelectorManager) {
    private val links = CopyOnWriteArrayList<ProxyLink>()

    /** Starts a link on [port] (0 = choose). */
    suspend fun add(target: String, port: Int): ProxyLink {
        require(target.substringAfterLast(':', "").toIntOrNull() != null) { "target '$target' is not host:port" }
        val link = ProxyLink(selector, target)
        link.start(scope, port)
        links += link
        return link
    }

    /** Serves one control request. */
    suspend fun serve(exchange: Exchange) {
        val path = exchange.request.path
        val index = path.removePrefix("$LINKS/").toIntOrNull()
        when {
            path == LINKS && exchange.request.method == "POST" -> {
                val request = exchange.receive<LinkRequest>()
                val link = add(request.target, request.port)
                exchange.respondJson(state(links.indexOf(link)), HttpStatusCode.Created)
            }
            path == LINKS -> exchange.respondJson(links.indices.map(::state))
            index != null && index in links.indices -> {
                if (exchange.request.method == "PUT") links[index].faults.value = exchange.receive()
                exchange.respondJson(state(index))
            }
            else -> exchange.respond(HttpStatusCode.NotFound)
        }
    }

    private fun state(index: Int) = links[index].run { LinkState(index, port, target, faults.value) }

    private companion object {
        const val LINKS = "/control/links"
    }
}
