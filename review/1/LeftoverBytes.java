import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Three of five replicas send additional bytes after some of their complete answers. Nothing else goes wrong. */
final class LeftoverBytes {
    private static final int CONSUMERS = 40;
    private static final int DURATION_MS = 15_000;

    /** Three of five replicas are faulty, from some seconds after the first request on. */
    private static final int REPLICAS = 5;
    private static final int FAULTY_REPLICAS = 3;
    private static final int FAULT_AT_MS = 5_000;
    private static final int FAULT_MS = 5_000;
    private static final double SPOILED_SHARE = 0.03;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** A second answer, as in the wire examples ("a server sheds"), of which the faulty replica sends only a beginning. */
    private static final String SECOND_ANSWER = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        StoreStandIn store = new StoreStandIn();
        Set<String> run = ConcurrentHashMap.newKeySet();
        Set<String> runTwice = ConcurrentHashMap.newKeySet();
        AtomicInteger spoiled = new AtomicInteger();
        Random random = new Random(7);
        boolean[] faultNow = new boolean[1];
        List<Replica> replicas = new ArrayList<>();
        for (int index = 0; index < REPLICAS; index++) {
            boolean faulty = trouble && index < FAULTY_REPLICAS;
            replicas.add(new Replica("i-" + index, record) {
                @Override
                int workMs(Http.Message request) {
                    if (!run.add(request.header("Attempt-Id"))) runTwice.add(request.header("Attempt-Id"));
                    return 60;
                }

                @Override
                byte[] extraBytes() {
                    synchronized (random) {
                        if (!faulty || !faultNow[0] || random.nextDouble() >= SPOILED_SHARE) return super.extraBytes();
                        spoiled.incrementAndGet();
                        return SECOND_ANSWER.substring(0, 1 + random.nextInt(SECOND_ANSWER.length() - 1)).getBytes(StandardCharsets.US_ASCII);
                    }
                }
            });
        }
        store.write("op/config", Catalogue.configuration(1, 2000).replace("\"Attempts\":1", "\"Attempts\":2"));
        Threads.start(() -> {
            while (true) {
                for (Replica replica : replicas) store.write(replica.key(), replica.entry("ready"));
                Thread.sleep(1200);
            }
        });
        Deployment deployment = new Deployment();
        Deployment.Gateway gateway = deployment.start("front-1", store.port());
        gateway.awaitReady();
        Thread.sleep(3000);

        AtomicInteger sent = new AtomicInteger();
        AtomicInteger succeeded = new AtomicInteger();
        AtomicInteger refusedThoughRun = new AtomicInteger();
        AtomicInteger wrongStatus = new AtomicInteger();
        long end = record.now() + DURATION_MS;
        List<Thread> consumers = new ArrayList<>();
        for (int index = 0; index < CONSUMERS; index++) {
            int number = index;
            consumers.add(Threads.start(() -> {
                Consumer consumer = new Consumer(gateway.frontPort(), record);
                for (int request = 0; record.now() < end; request++) {
                    String attempt = "b" + number + "-" + request;
                    Consumer.Answer answer = consumer.send("POST", "/book/2f", attempt, 4000, new byte[600]);
                    sent.incrementAndGet();
                    if (answer.status() == 200) succeeded.incrementAndGet();
                    if (PROMISES.contains(answer.status()) && run.contains(attempt)) {
                        refusedThoughRun.incrementAndGet();
                        record.line("BROKEN REFUSED " + attempt + " answered " + answer.status() + " and has run");
                    }
                    if (answer.status() >= 400 && !answer.signature().isEmpty()) {
                        wrongStatus.incrementAndGet();
                        record.line("BROKEN MIXED " + attempt + " answered " + answer.status() + " with the signature of a 200");
                    }
                    Thread.sleep(40);
                }
            }));
        }
        Thread.sleep(FAULT_AT_MS);
        faultNow[0] = true;
        record.line("the fault begins" + (trouble ? "" : " (left out)"));
        Thread.sleep(FAULT_MS);
        faultNow[0] = false;
        record.line("the fault ends");
        for (Thread consumer : consumers) consumer.join();
        deployment.end();
        record.say("requests " + sent + ", succeeded " + succeeded + ", answers followed by additional bytes " + spoiled);
        record.say("REFUSED: answered with a promise though run: " + refusedThoughRun);
        record.say("MIXED: failures with the signature of a success: " + wrongStatus);
        record.say("TWICE: run more than once: " + runTwice.size());
        record.close();
        boolean couldRun = succeeded.get() > 1000 && (!trouble || spoiled.get() > 10);
        boolean broken = refusedThoughRun.get() > 0 || wrongStatus.get() > 0 || !runTwice.isEmpty();
        Outcome.exit(broken, couldRun);
    }
}
