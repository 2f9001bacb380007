import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The platform's store: items with revisions, watches, transactions and leases that run out. */
final class StoreStandIn {
    private record Item(String key, String value, long revision, long created, long lease, boolean deleted) {
        String json() {
            String where = "{\"Key\":" + Json.quote(key) + ",\"Revision\":" + revision;
            return where + (deleted ? ",\"Deleted\":true}" : ",\"Value\":\"" + value + "\",\"Created\":" + created + ",\"Lease\":" + lease + "}");
        }
    }

    private static final class Lease {
        long endsAt;
        long milliseconds;
        final Set<String> keys = new HashSet<>();
    }

    private record Answer(int status, String body) {
    }

    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease;

    StoreStandIn() throws IOException {
        Threads.start(this::accept);
        Threads.start(this::endLeases);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes an entry on behalf of the operator or of a replica. */
    synchronized void write(String key, String text) {
        put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** Removes an entry on behalf of a replica. */
    synchronized void remove(String key) {
        delete(key);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                Answer answer = answer(call);
                byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    + "Content-Length: " + body.length + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.UTF_8));
                out.write(body);
                out.flush();
            }
        }
    }

    private Answer answer(Http.Message call) throws InterruptedException {
        String[] target = call.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String path = target[0];
        if (path.equals("/kv-key")) return get(query.get("Key"));
        if (path.equals("/kv-range")) return range(query.getOrDefault("Prefix", ""), query.getOrDefault("After", ""));
        if (path.equals("/kv-watch")) return watch(query);
        if (path.equals("/kv-txn")) return transact(Json.object(call.text()));
        if (path.equals("/kv-lease")) return grant((Long) Json.object(call.text()).get("TtlMs"));
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        return path.startsWith("/kv-keep/") ? keep(lease) : end(lease);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.split("&")) {
            String[] parts = field.split("=", 2);
            if (parts.length == 2) fields.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return fields;
    }

    private synchronized Answer get(String key) {
        Item item = items.get(key);
        return item == null ? new Answer(404, "{}") : new Answer(200, item.json().replaceFirst("}$", ",\"CurrentRev\":" + revision + "}"));
    }

    private synchronized Answer range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.key.startsWith(prefix) && item.key.compareTo(after) > 0) found.add(item.json());
        }
        return new Answer(200, "{\"Items\":[" + String.join(",", found) + "],\"Truncated\":false,\"CurrentRev\":" + revision + "}");
    }

    private synchronized Answer watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("After"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("WaitMs", "0"));
        String prefix = query.getOrDefault("Prefix", "");
        List<String> events = events(prefix, after);
        for (long left = until - System.currentTimeMillis(); events.isEmpty() && left > 0; left = until - System.currentTimeMillis()) {
            wait(left);
            events = events(prefix, after);
        }
        return new Answer(200, "{\"events\":[" + String.join(",", events) + "],\"CurrentRev\":" + revision + "}");
    }

    private List<String> events(String prefix, long after) {
        List<String> found = new ArrayList<>();
        for (Item item : history) {
            if (item.revision > after && item.key.startsWith(prefix)) found.add(item.json());
        }
        return found;
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer transact(Map<String, Object> call) {
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) call.get("Expected")) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = items.get((String) expected.get("Key"));
            holds &= (item == null ? 0 : item.revision) == (Long) expected.get("Revision");
            if (item != null) current.add(item.json());
        }
        if (!holds) return new Answer(412, "{\"Items\":[" + String.join(",", current) + "]}");
        for (Object row : (List<Object>) call.get("Puts")) {
            long lease = (Long) ((Map<String, Object>) row).getOrDefault("Lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) return new Answer(404, "{}");
        }
        for (Object row : (List<Object>) call.get("Puts")) {
            Map<String, Object> item = (Map<String, Object>) row;
            put((String) item.get("Key"), (String) item.get("Value"), (Long) item.getOrDefault("Lease", 0L));
        }
        for (Object key : (List<Object>) call.get("Remove")) delete((String) key);
        return new Answer(200, "{\"Revision\":" + revision + "}");
    }

    private synchronized Answer grant(long milliseconds) {
        Lease lease = new Lease();
        lease.milliseconds = milliseconds;
        lease.endsAt = System.currentTimeMillis() + milliseconds;
        leases.put(++lastLease, lease);
        return new Answer(200, "{\"Lease\":" + lastLease + ",\"TtlMs\":" + milliseconds + "}");
    }

    private synchronized Answer keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Answer(404, "{}");
        lease.endsAt = System.currentTimeMillis() + lease.milliseconds;
        return new Answer(200, "{\"TtlMs\":" + lease.milliseconds + "}");
    }

    private synchronized Answer end(long id) {
        Lease lease = leases.remove(id);
        if (lease != null) List.copyOf(lease.keys).forEach(this::delete);
        return new Answer(lease == null ? 404 : 200, "{}");
    }

    private void endLeases() throws InterruptedException {
        while (true) {
            Thread.sleep(50);
            synchronized (this) {
                long now = System.currentTimeMillis();
                List<Long> ended = leases.entrySet().stream().filter(it -> it.getValue().endsAt <= now).map(Map.Entry::getKey).toList();
                ended.forEach(this::end);
            }
        }
    }

    private void put(String key, String value, long lease) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease, false);
        leases.values().forEach(it -> it.keys.remove(key));
        if (lease != 0) leases.get(lease).keys.add(key);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) == null) return;
        history.add(new Item(key, "", ++revision, 0, 0, true));
        notifyAll();
    }
}
