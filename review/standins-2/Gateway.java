package review2;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One process of the system, started with the command of the deploy file. */
final class Gateway {
    final String name;
    final int front = Http.freePort();
    final int readiness = Http.freePort();
    final int control = Http.freePort();
    private final Path settings;
    private final File log;
    private final List<String> command;
    Process process;

    Gateway(String name, int storePort, Path folder) throws IOException {
        this.name = name;
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log").toFile();
        command = runCommand();
        Files.writeString(settings, settingsText(storePort));
    }

    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("the deploy file has no run command");
    }

    private String settingsText(int storePort) {
        return """
            {"NodeName":"%s","Role":"gateway","MachineClass":"front","Serves":["front","control"],"IpAddress":"127.0.0.1",
             "Zone":"sapporo","Region":"dounai","Zones":{"sapporo":"dounai"},
             "ListenAddresses":{"Front":"127.0.0.1:%d","Readiness":"127.0.0.1:%d","Control":"127.0.0.1:%d"},
             "InternalPortRange":[7340,7355],"Seeds":["127.0.0.1:%d"],"Bootstrap":true,"CountsTowardTolerance":false,
             "Limits":{"CpuShare":0.75,"Cores":1,"MemoryMb":430,"FileDescriptors":4200,"LinkMbps":1000.0,"DiskMb":0},
             "DataDirectory":null,"Discovery":"platform","Entry":"virtual_ip","HeartbeatIntervalMs":1200,
             "Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"],
             "FaultTolerance":{"Machines":1,"Zones":0,"Regions":0},
             "Bounds":{"SeedLagS":3,"ReuseAfterS":2,"StableWindowMs":3000,"AcknowledgeMs":4000,"CatchUpS":4,"DrainMs":2000,
              "GraceS":8,"LossSlackMs":200,"PropagationMs":2000,"RollbackSlackMs":250,"OuterBoundMs":5000,
              "StrictRevocation":false,"RevocationMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetryBudgetSlack":130,
              "RecoveryS":12,"PassMs":120,"RetryAfterS":0,"StallMs":5000,"RequireFencing":true,"CeilingWindowS":5,
              "CeilingFactor":1.1},
             "Platform":{"Address":"127.0.0.1:%d","form":"kv","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,
              "ValueBytes":1048576,"MinTtlMs":1000}}
            """.formatted(name, front, readiness, control, control, storePort);
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("BORAGERING_CONFIG", settings.toString());
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    }

    /** Waits until the process says that it is ready; returns whether it did in time. */
    boolean awaitReady(int seconds) throws InterruptedException {
        for (int tries = 0; tries < seconds * 20; tries++) {
            if (ready()) return true;
            Thread.sleep(50);
        }
        return false;
    }

    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readiness), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream().write(Http.ascii("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            return head != null && head.status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    String logText() throws IOException {
        return Files.readString(log.toPath());
    }

    void end() {
        if (process != null) process.destroyForcibly();
    }
}
