package boragering.scenarios

import java.nio.file.Path
import kotlin.io.path.absolute
import kotlin.io.path.exists

/** The programs as the build leaves them below the project's [root], with small heaps and flags for a quick start. */
class Programs(private val root: Path) {
    /** Jars that have not been built. */
    val missing: List<Path> get() = listOf(STAND_INS, DAEMON, CLIENT).map(root::resolve).filterNot { it.exists() }

    internal fun standIn(kind: String, arguments: List<String>): List<String> {
        val heap = if (kind == "store") STORE_HEAP else STAND_IN_HEAP
        return java(heap, STAND_INS) + kind + "--end-with-input" + arguments
    }

    internal fun daemon(settings: Path): List<String> = java(DAEMON_HEAP, DAEMON) + "--settings" + "$settings"

    internal fun client(arguments: List<String>): List<String> = java(CLIENT_HEAP, CLIENT) + arguments

    private fun java(heap: String, jar: String): List<String> =
        listOf("${Path.of(System.getProperty("java.home"), "bin", "java")}", heap) + quickStart +
            listOf("-jar", "${root.resolve(jar)}")

    companion object {
        private const val STAND_INS = "standins/target/standins.jar"
        private const val DAEMON = "daemon/target/boragered.jar"
        private const val CLIENT = "client/target/boragerctl.jar"
        private const val STAND_IN_HEAP = "-Xmx64m"
        private const val STORE_HEAP = "-Xmx128m"
        private const val DAEMON_HEAP = "-Xmx192m"
        private const val CLIENT_HEAP = "-Xmx64m"
        private val quickStart = listOf("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto")

        /** Finds the project above the working directory. */
        fun locate(): Programs {
            val root = generateSequence(Path.of("").absolute()) { it.parent }
                .firstOrNull { it.resolve("scenarios/pom.xml").exists() }
            return Programs(checkNotNull(root) { "the working directory is not inside the project" })
        }
    }
}
