package boragering.scenarios

import boragering.adapters.FreePorts
import java.nio.file.Path
import kotlin.io.path.writeText

/** Chooses the daemons' addresses and writes their settings. */
internal class DaemonPreparation(
    private val plan: DeploymentPlan,
    private val directory: Path,
    private val launcher: Launcher,
    private val secrets: Secrets,
) {
    private val addresses = plan.daemons.map { ListenSettings(address(), address(), address()) }

    /** The daemons, ready to be started. */
    suspend fun prepare(proxy: ProxyHandle, store: StoreHandle, liveList: LiveListHandle): List<DaemonHandle> =
        plan.daemons.mapIndexed { index, daemon ->
            val links = if (daemon.proxiedPlatform) {
                PlatformLinks(proxy.link(store.address), proxy.link(liveList.address))
            } else {
                null
            }
            val platform = PlatformSettings(
                "http://${links?.store?.address ?: store.address}",
                "http://${links?.liveList?.address ?: liveList.address}",
            )
            val settings = daemon.adapt(settings(daemon, addresses[index], platform))
            val file = directory.resolve("${daemon.name}.json")
            file.writeText(scenarioJson.encodeToString(settings))
            DaemonHandle(launcher, settings, file, secrets.operators.value, links)
        }

    private fun settings(daemon: DaemonPlan, listen: ListenSettings, platform: PlatformSettings) = DaemonSettings(
        name = daemon.name,
        availabilityZone = daemon.availabilityZone,
        region = plan.region,
        listen = listen,
        platform = platform,
        peers = PeerSettings(addresses.map { it.peers }, "${secrets.peers.file}"),
        operators = OperatorSettings("${secrets.operators.file}"),
    )

    private fun address() = "127.0.0.1:${FreePorts.next()}"
}
