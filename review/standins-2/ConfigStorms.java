package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/** A configuration with many routes changes in several storms. */
final class ConfigStorms {
    private static final int GATEWAYS = 2;
    private static final int REPLICAS = 3;
    private static final int CONSUMERS = 16;
    private static final int BODY_BYTES = 600;
    private static final int DEADLINE_MS = 4_000;
    private static final int WORK_MS = 1_000;
    private static final int ROUTES = 1_680 + 1_380 + 240;
    private static final int STORMS = 9;
    private static final int STORM_MS = 4_000;
    private static final int GAP_MS = 330;
    private static final int PAUSE_MS = 6_000;
    private static final int LENGTH_S = 92;

    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger ENDS = new AtomicInteger();
    private static Record record;

    private ConfigStorms() {
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        record = new Record(Path.of(arguments[0], "record.txt"));
        Store store = new Store();
        store.put("op/config", configuration(7));
        for (int number = 0; number < REPLICAS; number++) {
            Http.Slots slots = new Http.Slots(18);
            Http.Server replica = new Http.Server(0, 0, (head, in, out, socket) -> slots.serve(head, in, out, socket, ConfigStorms::serve));
            store.put("servers/i-7f3a91c" + number, Configuration.server(replica.port(), "ready", 1, System.currentTimeMillis()));
        }
        List<Gateway> gateways = new ArrayList<>();
        for (int number = 0; number < GATEWAYS; number++) gateways.add(new Gateway("front-sapporo-" + number, store.port(), folder));
        int result = 2;
        try {
            record.line("the configuration has %d bytes", configuration(7).getBytes(java.nio.charset.StandardCharsets.UTF_8).length);
            for (Gateway gateway : gateways) gateway.start();
            for (Gateway gateway : gateways) if (!gateway.awaitReady(20)) throw new IllegalStateException("not ready");
            Thread.sleep(2_000);
            long end = System.nanoTime() + LENGTH_S * 1_000_000_000L;
            List<Thread> threads = new ArrayList<>();
            for (Gateway gateway : gateways) {
                threads.add(Http.daemon(() -> keepRunning(gateway, end)));
                for (int number = 0; number < CONSUMERS; number++) {
                    String consumer = "%04x%04x".formatted(gateways.indexOf(gateway) + 1, number);
                    threads.add(Http.daemon(() -> consume(gateway, consumer, end)));
                }
            }
            if (trouble) threads.add(Http.daemon(() -> changeConfiguration(store)));
            for (Thread thread : threads) thread.join(LENGTH_S * 1_000L + 8_000);
            record.line("requests answered %d; run, and their kept channel closed without an answer %d; processes ended by "
                + "themselves %d times", ANSWERED.get(), LOST.get(), ENDS.get());
            result = LOST.get() > 3 ? 1 : ANSWERED.get() > 100 ? 0 : 2;
        } catch (Exception failure) {
            record.line("the case could not run: %s", failure);
        } finally {
            gateways.forEach(Gateway::end);
            for (Gateway gateway : gateways) {
                gateway.logText().lines().filter(line -> line.startsWith("Terminating"))
                    .forEach(line -> record.line("%s wrote: %s", gateway.name, line));
            }
        }
        System.out.println("result " + result);
        System.exit(result);
    }

    private static void changeConfiguration(Store store) {
        int version = 7;
        for (int storm = 1; storm <= STORMS; storm++) {
            long end = System.nanoTime() + STORM_MS * 1_000_000L;
            int first = version + 1;
            while (System.nanoTime() < end) {
                store.put("op/config", configuration(++version));
                pause(GAP_MS);
            }
            record.line("storm %d: the configuration has changed %d times, to version %d", storm, version + 1 - first, version);
            pause(PAUSE_MS);
        }
    }

    /** A configuration to which many routes were added; each version changes their timeouts. */
    private static String configuration(int version) {
        StringBuilder routes = new StringBuilder();
        for (int number = 0; number < ROUTES; number++) {
            routes.append("""
                {"Name":"r-2yhvz%05d","Host":"ficu95.example","Prefix":"/cufi%05d/","Kind":"streaming","TimeoutMs":%d,\
                "TargetLatencyMs":500,"Priority":1,"TrafficSplit":[{"Service":"wuno96b","Weight":90},\
                {"Service":"huvo11a","Weight":10}],"Attempts":2,"Public":false,"StickySessions":true,"Resumable":true,\
                "TargetGapMs":300},\
                """.formatted(number, number, 2_000 + version));
        }
        String second = "\"Services\":[{\"Name\":\"huvo11a\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":96},";
        return Configuration.text(version).replace("\"Routes\":[", "\"Routes\":[" + routes).replace("\"Services\":[", second);
    }

    /** Starts the process again when it has ended, as the platform does. */
    private static void keepRunning(Gateway gateway, long end) {
        while (System.nanoTime() < end) {
            if (!gateway.process.isAlive()) {
                record.line("%s has ended by itself, exit status %d", gateway.name, gateway.process.exitValue());
                ENDS.incrementAndGet();
                pause(500);
                try {
                    gateway.start();
                } catch (Exception failure) {
                    record.line("%s cannot be started: %s", gateway.name, failure);
                }
            }
            pause(20);
        }
    }

    private static boolean serve(Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception {
        Http.readExactly(in, head.length());
        RUN.add(head.get("attempt-id"));
        record.line("replica runs %s", head.get("attempt-id"));
        Thread.sleep(WORK_MS);
        out.write(Http.response(200, "Attempt-Id: " + head.get("attempt-id")
            + "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "b".repeat(800)));
        out.flush();
        return true;
    }

    private static void consume(Gateway gateway, String consumer, long end) {
        int number = 0;
        while (System.nanoTime() < end) {
            String id = "";
            boolean sent = false;
            try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
                socket.setSoTimeout(DEADLINE_MS);
                for (int onChannel = 0; System.nanoTime() < end; onChannel++) {
                    sent = false;
                    id = consumer + "%08x".formatted(++number);
                    byte[] head = Http.ascii(Configuration.head("POST", Configuration.UNSAFE, id, DEADLINE_MS, BODY_BYTES));
                    record.line("consumer %s sends %s, request %d of its channel", consumer, id, onChannel + 1);
                    socket.getOutputStream().write(Arrays.copyOf(head, head.length + BODY_BYTES));
                    sent = onChannel > 0;
                    Http.Head answer = Http.readHead(socket.getInputStream());
                    if (answer == null) throw new java.io.EOFException("closed");
                    Http.readBody(answer, socket.getInputStream());
                    record.line("consumer %s gets %s for %s", consumer, answer.line, id);
                    ANSWERED.incrementAndGet();
                    pause(ThreadLocalRandom.current().nextInt(200));
                    if ("close".equalsIgnoreCase(answer.get("connection"))) break;
                }
            } catch (Exception failure) {
                boolean lost = sent && RUN.contains(id);
                record.line("consumer %s: %s after %s%s", consumer, failure, id, lost ? ", which the replica runs" : "");
                if (lost) LOST.incrementAndGet();
                pause(100);
            }
        }
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
