package review2;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** All replicas of a small service are lost while the memory for bodies is short for a moment. */
final class MemoryWaiters {
    private static final int LARGE_BYTES = 1_048_576;
    private static final int LARGE_CONSUMERS = 40;
    private static final int WORK_MS = 700;
    private static final int SMALL_BYTES = 600;
    private static final int CONSUMERS = 214;
    private static final int DEADLINE_MS = 4_000;
    private static final int REPLICAS = 3;

    /** An entry is removed after three check-in intervals of silence. */
    private static final int ENTRY_MS = 2_400;
    private static final int CRASH_MS = 5_000;
    private static final int LENGTH_S = 30;
    private static final int CRASHES = 2;
    private static final int BETWEEN_MS = 5_000;

    private MemoryWaiters() {
    }

    static String configuration() {
        return """
            {"Version":7,"Routes":[
              {"Name":"r-image","Host":"ficu95.example","Prefix":"/lohu930/","Kind":"non_idempotent","TimeoutMs":15000,
               "TargetLatencyMs":4000,"Priority":2,"Service":"huvo11a","Attempts":1,"Public":false},
              {"Name":"r-book","Host":"ficu95.example","Prefix":"/puxa403/","Kind":"non_idempotent","TimeoutMs":2000,
               "TargetLatencyMs":386,"Priority":2,"Service":"wuno96b","Attempts":1,"Public":false}],
             "Services":[{"Name":"wuno96b","HealthCheckPath":"/health","MaxConnections":464,"Protocol":"h1","Tls":false},
              {"Name":"huvo11a","HealthCheckPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}],
             "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
             "Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}
            """;
    }

    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final Set<String> REFUSED = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final AtomicInteger UNREQUESTED = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static Record record;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        record = new Record(Path.of(arguments[0], "record.txt"));
        Store store = new Store();
        store.put("op/config", configuration());
        Http.Slots slots = new Http.Slots(18);
        Http.Server large = new Http.Server(0, 0, (head, in, out, socket) -> slots.serve(head, in, out, socket, MemoryWaiters::serveLarge));
        List<Http.Server> small = new ArrayList<>();
        String service = Configuration.server(large.port(), "ready", 1, System.currentTimeMillis());
        store.put("servers/i-55ae01d7", service.replace("wuno96b", "huvo11a"));
        startSmall(store, small, 0);
        Gateway gateway = new Gateway("front-sapporo-1", store.port(), folder);
        int result = 2;
        try {
            gateway.start();
            if (!gateway.awaitReady(20)) throw new IllegalStateException("the gateway is not ready");
            Thread.sleep(3_000);
            long end = System.nanoTime() + LENGTH_S * 1_000_000_000L;
            List<Thread> consumers = new ArrayList<>();
            for (int number = 0; number < CONSUMERS; number++) {
                int consumer = number;
                consumers.add(Http.daemon(() -> consume(gateway, consumer, end)));
            }
            for (int number = 0; number < LARGE_CONSUMERS; number++) {
                int sender = number;
                Http.daemon(() -> sendAllLarge(gateway, sender, end));
            }
            Thread.sleep(4_000);
            for (int crash = 0; trouble && crash < CRASHES; crash++) crash(store, small, crash);
            for (Thread consumer : consumers) consumer.join(LENGTH_S * 1_000L + 10_000);
            Set<String> ranThoughRefused = new HashSet<>(REFUSED);
            ranThoughRefused.retainAll(RUN);
            ranThoughRefused.forEach(id -> record.line("%s was answered 503, and was run", id));
            record.line("requests answered %d; answers of other requests %d; successes without a request %d; answered 503 "
                + "and run %d; unanswered %d", ANSWERED.get(), FOREIGN.get(), UNREQUESTED.get(), ranThoughRefused.size(),
                UNANSWERED.get());
            boolean broken = FOREIGN.get() + UNREQUESTED.get() + ranThoughRefused.size() > 0;
            result = broken ? 1 : ANSWERED.get() > CONSUMERS ? 0 : 2;
        } catch (Exception failure) {
            record.line("the case could not run: %s", failure);
        } finally {
            gateway.end();
            if (arguments.length > 1) Files.writeString(Path.of(arguments[1]), gateway.logText());
        }
        System.out.println("result " + result);
        System.exit(result);
    }

    /** The replicas of the small service end without a word; others start under other names. */
    private static void crash(Store store, List<Http.Server> small, int crash) throws Exception {
        record.line("the replicas of the small service crash");
        for (Http.Server server : small) server.crash();
        Thread.sleep(ENTRY_MS);
        for (int number = 0; number < REPLICAS; number++) store.put(serverKey(crash, number), null);
        record.line("their entries have expired");
        Thread.sleep(CRASH_MS - ENTRY_MS);
        startSmall(store, small, crash + 1);
        record.line("replicas of the small service have started again");
        Thread.sleep(BETWEEN_MS);
    }

    private static String serverKey(int life, int number) {
        return "servers/i-7f3a91" + life + number;
    }

    private static void startSmall(Store store, List<Http.Server> servers, int life) throws Exception {
        servers.clear();
        for (int number = 0; number < REPLICAS; number++) {
            Http.Slots slots = new Http.Slots(64);
            Http.Server server = new Http.Server(0, 0, (head, in, out, socket) -> slots.serve(head, in, out, socket, MemoryWaiters::serveSmall));
            servers.add(server);
            String entry = Configuration.server(server.port(), "ready", 1, System.currentTimeMillis());
            store.put(serverKey(life, number), entry.replace("\"Slots\":18", "\"Slots\":64"));
        }
    }

    private static boolean serveLarge(Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception {
        Http.readExactly(in, head.length());
        record.line("large replica runs %s", head.get("attempt-id"));
        out.write(Http.ascii("HTTP/1.1 200 OK\r\nAttempt-Id: " + head.get("attempt-id")
            + "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n"));
        out.flush();
        Thread.sleep(WORK_MS);
        out.write(new byte[LARGE_BYTES]);
        out.flush();
        return true;
    }

    private static boolean serveSmall(Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception {
        Http.readExactly(in, head.length());
        RUN.add(head.get("attempt-id"));
        record.line("replica runs %s", head.get("attempt-id"));
        Thread.sleep(60);
        out.write(Http.response(200, "Attempt-Id: " + head.get("attempt-id")
            + "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "b".repeat(800)));
        out.flush();
        return true;
    }

    private static void sendAllLarge(Gateway gateway, int sender, long end) {
        for (int number = 0; System.nanoTime() < end; number++) {
            String id = "9c41%04x%08x".formatted(sender, number);
            try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
                socket.setSoTimeout(15_500);
                record.line("large consumer %d sends %s", sender, id);
                OutputStream out = socket.getOutputStream();
                out.write(Http.ascii(Configuration.head("POST", Configuration.STREAM, id, 15_000, LARGE_BYTES)));
                out.write(new byte[LARGE_BYTES]);
                out.flush();
                Http.Head head = Http.readHead(socket.getInputStream());
                byte[] body = Http.readBody(head, socket.getInputStream());
                record.line("large consumer %d: %s gets %s, %d bytes", sender, id, head.line, body.length);
                String after = head.get("retry-after");
                Thread.sleep(after == null ? 100 : (long) (Double.parseDouble(after) * 1_000));
            } catch (Exception failure) {
                record.line("large consumer %d: %s: %s", sender, id, failure);
            }
        }
    }

    /** Sends one request after the other on a kept channel, and comes back when it is told to. */
    private static void consume(Gateway gateway, int consumer, long end) {
        int number = 0;
        while (System.nanoTime() < end) {
            String id = "";
            try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
                socket.setSoTimeout(DEADLINE_MS);
                socket.setTcpNoDelay(true);
                while (System.nanoTime() < end) {
                    id = "%08x%08x".formatted(consumer + 1, ++number);
                    byte[] head = Http.ascii(Configuration.head("POST", Configuration.UNSAFE, id, DEADLINE_MS, SMALL_BYTES));
                    record.line("consumer %d sends %s", consumer, id);
                    socket.getOutputStream().write(Arrays.copyOf(head, head.length + SMALL_BYTES));
                    socket.getOutputStream().flush();
                    Http.Head answer = Http.readHead(socket.getInputStream());
                    if (answer == null) {
                        record.line("consumer %d: the channel is closed without an answer to %s", consumer, id);
                        break;
                    }
                    Http.readBody(answer, socket.getInputStream());
                    ANSWERED.incrementAndGet();
                    record.line("consumer %d gets %s as the answer to %s", consumer, answer.line, id);
                    String echoed = answer.get("attempt-id");
                    if (answer.status() == 503) REFUSED.add(id);
                    if (answer.status() == 200 && !id.equals(echoed)) {
                        record.line("consumer %d: sent %s and gets %s with the answer of %s", consumer, id, answer.line, echoed);
                        FOREIGN.incrementAndGet();
                        break;
                    }
                    String after = answer.get("retry-after");
                    Thread.sleep(after == null ? 300 : (long) (Double.parseDouble(after) * 1_000));
                    if ("close".equalsIgnoreCase(answer.get("connection"))) break;
                    if (socket.getInputStream().available() > 0) {
                        Http.Head extra = Http.readHead(socket.getInputStream());
                        record.line("consumer %d: no request is waiting, and the channel holds %s of %s", consumer, extra.line,
                            extra.get("attempt-id"));
                        if (extra.status() == 200) UNREQUESTED.incrementAndGet();
                        break;
                    }
                }
            } catch (SocketTimeoutException late) {
                record.line("consumer %d: no answer to %s after %d ms", consumer, id, DEADLINE_MS);
                UNANSWERED.incrementAndGet();
            } catch (Exception failure) {
                record.line("consumer %d: %s after %s", consumer, failure, id);
            }
        }
    }
}
