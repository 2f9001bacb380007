package review2;

import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica is killed in the middle of an answer without a length that it gave before it had read the body. */
final class TruncatedAnswer {
    private static final int ROUNDS = 3;
    private static final int REQUESTS = 3;
    private static final int BODY_BYTES = 4_000_000;

    private static final int REPLICAS = 6;

    /** The replicas that have written the first half of an answer. */
    private static final LinkedBlockingQueue<Running> BEGUN = new LinkedBlockingQueue<>();

    private TruncatedAnswer() {
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        Record record = new Record(Path.of(arguments[0], "record.txt"));
        List<Process> started = new ArrayList<>();
        Store store = new Store();
        store.put("op/config", Configuration.text(7));
        Gateway gateway = new Gateway("front-sapporo-1", store.port(), folder);
        int result = 2;
        try {
            gateway.start();
            AtomicInteger bad = new AtomicInteger();
            AtomicInteger good = new AtomicInteger();
            List<Running> replicas = new ArrayList<>();
            for (int number = 0; number < REPLICAS; number++) replicas.add(new Running(number, store, started, record));
            if (!gateway.awaitReady(20)) throw new IllegalStateException("the gateway is not ready");
            Thread.sleep(2_000);
            for (int round = 1; round <= ROUNDS; round++) {
                BEGUN.clear();
                List<Thread> callers = new ArrayList<>();
                for (int number = 1; number <= REQUESTS; number++) {
                    String attempt = "9c41d07be2a3" + round + "00" + number;
                    callers.add(Http.daemon(() -> call(gateway, attempt, record, bad, good)));
                }
                Running begun = BEGUN.poll(8, TimeUnit.SECONDS);
                if (trouble && begun != null) {
                    Thread.sleep(300);
                    record.line("replica %s is killed", begun.id);
                    begun.process.destroyForcibly().waitFor();
                }
                for (Thread caller : callers) caller.join(12_000);
                if (trouble && begun != null) store.put("servers/" + begun.id, null);
                Thread.sleep(1_000);
            }
            int truncated = bad.get();
            int whole = good.get();
            record.line("complete answers %d, truncated answers passed on as complete successes %d", whole, truncated);
            boolean ran = trouble || whole == ROUNDS * REQUESTS;
            result = truncated > 0 ? 1 : ran ? 0 : 2;
        } catch (Exception failure) {
            record.line("the case could not run: %s", failure);
        } finally {
            gateway.end();
            started.forEach(Process::destroyForcibly);
        }
        System.out.println("result " + result);
        System.exit(result);
    }

    /** A process of a replica. */
    private static final class Running {
        final String id;
        final Process process;

        Running(int number, Store store, List<Process> started, Record record) throws Exception {
            id = "i-7f3a91c" + number;
            process = new ProcessBuilder("java", "-Xmx64m", "-cp", "target/review-2", "review2.EarlyReplica")
                .redirectError(ProcessBuilder.Redirect.INHERIT).start();
            started.add(process);
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()));
            int port = Integer.parseInt(output.readLine());
            store.put("servers/" + id, Configuration.server(port, "ready", 1, System.currentTimeMillis()));
            Http.daemon(() -> output.lines().forEach(line -> {
                record.line("replica %s: %s", id, line);
                if (line.startsWith("half")) BEGUN.add(this);
            }));
        }
    }

    private static void call(Gateway gateway, String id, Record record, AtomicInteger bad, AtomicInteger good) {
        try (Socket socket = new Socket("127.0.0.1", gateway.front)) {
            socket.setSoTimeout(10_000);
            OutputStream out = socket.getOutputStream();
            record.line("consumer sends %s with a body of %d bytes", id, BODY_BYTES);
            out.write(Http.ascii(Configuration.head("POST", Configuration.UNSAFE, id, 8_000, BODY_BYTES)));
            out.write(new byte[BODY_BYTES]);
            out.flush();
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            if (head == null) {
                record.line("consumer %s: the channel is closed without an answer", id);
                return;
            }
            byte[] body = Http.readBody(head, in);
            record.line("consumer %s gets %s, signature %s, %d bytes, complete", id, head.line,
                head.get("response-signature"), body.length);
            if (head.status() == 200) (body.length == EarlyReplica.ANSWER_BYTES ? good : bad).incrementAndGet();
        } catch (Exception failure) {
            record.line("consumer %s: no complete answer: %s", id, failure);
        }
    }
}
