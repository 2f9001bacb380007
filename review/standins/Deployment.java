import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts processes of the system with the run command of the deploy file and settings on loopback. */
final class Deployment {
    private final Path repository = Path.of("").toAbsolutePath();
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();

    Deployment() throws IOException {
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** One process of the system. */
    record Gateway(String name, int frontPort, int statusPort, Process process) {
        boolean ready() {
            try {
                HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + statusPort + "/ready").toURL().openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(1000);
                return call.getResponseCode() == 200;
            } catch (IOException failure) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            for (int attempt = 0; attempt < 300; attempt++) {
                if (ready()) return;
                Thread.sleep(100);
            }
            throw new IllegalStateException(name + " is not ready within 30 s");
        }
    }

    /** Starts a gateway that finds the store at the given port. */
    Gateway start(String name, int storePort) throws IOException {
        int[] ports = freePorts(3);
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(name, ports, storePort));
        ProcessBuilder builder = new ProcessBuilder(runCommand()).directory(repository.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(it -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(it));
        environment.put("BORAGERING_CONFIG", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        Process process = builder.redirectErrorStream(true).redirectOutput(log).start();
        processes.add(process);
        return new Gateway(name, ports[0], ports[1], process);
    }

    /** The lines that a gateway has written to its output. */
    List<String> log(String name) throws IOException {
        return Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
    }

    /** Ends all processes and removes the settings. */
    void end() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
            }
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }

    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
        int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    private List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new IllegalStateException("the deploy file has no run command");
    }

    /** Settings with the bounds and limits of the small installation on the users' sheet. */
    private static String settings(String name, int[] ports, int storePort) {
        return """
            {"NodeName":"%s","Role":"gateway","MachineClass":"front","Serves":["front","control"],"IpAddress":"127.0.0.1",
            "Zone":"sapporo","Region":"dounai","Zones":{"sapporo":"dounai"},
            "ListenAddresses":{"Front":"127.0.0.1:%d","Readiness":"127.0.0.1:%d","Control":"127.0.0.1:%d"},
            "Seeds":["127.0.0.1:%d"],"Bootstrap":true,
            "Limits":{"CpuShare":0.75,"Cores":1,"MemoryMb":430,"FileDescriptors":4200,"LinkMbps":1000.0,"DiskMb":0},
            "DataDirectory":null,"Discovery":"platform","Entry":"virtual_ip","HeartbeatIntervalMs":1200,
            "Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"],
            "FaultTolerance":{"Machines":1,"Zones":0,"Regions":0},
            "Bounds":{"StableWindowMs":3000,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"PropagationMs":2000,
            "RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetryBudgetSlack":130,"RecoveryS":12,"StallMs":5000},
            "Platform":{"Address":"127.0.0.1:%d","form":"kv","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,
            "ValueBytes":1048576,"MinTtlMs":1000}}
            """.formatted(name, ports[0], ports[1], ports[2], ports[2], storePort);
    }
}
