package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store, as PROTOCOL.md describes it. */
final class Store {
    private static final class Item {
        String value;
        long revision;
        long created;
        long lease;
    }

    private static final class Lease {
        long ttl;
        long until;
    }

    private record Event(long revision, String json, String key, long at) {
    }

    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    /** The last revision that the history no longer has. */
    private long forgotten = 100;
    private long nextLease = 7000;
    private final Http.Server server;

    /** While true, calls are not answered and their connections stay silent. */
    volatile boolean silent;

    Store() throws IOException {
        server = new Http.Server(0, 0, this::serve);
        Http.daemon(this::expireLeases);
    }

    int port() {
        return server.port();
    }

    /** Writes what the operator or a replica writes; a null value removes the key. */
    synchronized long put(String key, String text) {
        return change(key, text == null ? null : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }


    private long change(String key, String value, long lease) {
        revision++;
        Item item = items.computeIfAbsent(key, k -> new Item());
        if (value == null) {
            items.remove(key);
            history.add(new Event(revision,
                "{\"Key\":" + Json.quote(key) + ",\"Revision\":" + revision + ",\"Deleted\":true}", key, System.nanoTime()));
        } else {
            if (item.created == 0) item.created = revision;
            item.value = value;
            item.revision = revision;
            item.lease = lease;
            history.add(new Event(revision, json(key, item), key, System.nanoTime()));
        }
        while (System.nanoTime() - history.get(0).at > HISTORY_NANOS) forgotten = history.remove(0).revision;
        notifyAll();
        return revision;
    }

    private static String json(String key, Item item) {
        return "{\"Key\":" + Json.quote(key) + ",\"Value\":\"" + item.value + "\",\"Revision\":" + item.revision
            + ",\"Created\":" + item.created + ",\"Lease\":" + item.lease + "}";
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException ended) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                for (long id : new ArrayList<>(leases.keySet())) if (leases.get(id).until < now) end(id);
            }
        }
    }

    private void end(long id) {
        leases.remove(id);
        for (String key : new ArrayList<>(items.keySet())) if (items.get(key).lease == id) change(key, null, 0);
    }

    private boolean serve(Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception {
        byte[] body = Http.readExactly(in, head.length());
        if (silent) {
            Thread.sleep(3_600_000);
            return false;
        }
        String[] parts = head.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                String[] named = pair.split("=", 2);
                query.put(named[0], URLDecoder.decode(named.length > 1 ? named[1] : "", StandardCharsets.UTF_8));
            }
        }
        out.write(answer(head.method(), parts[0], query, new String(body, StandardCharsets.UTF_8)));
        out.flush();
        return true;
    }

    private synchronized byte[] answer(String method, String path, Map<String, String> query, String body)
        throws InterruptedException {
        long now = System.nanoTime() / 1_000_000;
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("Key"));
            if (item == null) return reply(404, "{}");
            String json = json(query.get("Key"), item);
            return reply(200, json.substring(0, json.length() - 1) + ",\"CurrentRev\":" + revision + "}");
        }
        if (path.equals("/kv-range")) return range(query.getOrDefault("Prefix", ""), query.getOrDefault("After", ""));
        if (path.equals("/kv-watch")) return watch(query, now);
        if (path.equals("/kv-txn")) return transact(Json.object(body));
        if (path.equals("/kv-lease")) {
            Lease lease = new Lease();
            lease.ttl = ((Double) Json.object(body).get("TtlMs")).longValue();
            lease.until = now + lease.ttl;
            leases.put(++nextLease, lease);
            return reply(200, "{\"Lease\":" + nextLease + ",\"TtlMs\":" + lease.ttl + "}");
        }
        if (path.startsWith("/kv-keep/")) {
            Lease lease = leases.get(Long.valueOf(path.substring("/kv-keep/".length())));
            if (lease == null) return reply(404, "{}");
            lease.until = now + lease.ttl;
            return reply(200, "{\"TtlMs\":" + lease.ttl + "}");
        }
        if (path.startsWith("/kv-lease-end/")) {
            end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            return reply(200, "{}");
        }
        return reply(400, "{}");
    }

    private byte[] range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (entry.getKey().compareTo(after) <= 0) continue;
            truncated = found.size() == 500;
            if (truncated) break;
            found.add(json(entry.getKey(), entry.getValue()));
        }
        return reply(200, "{\"Items\":[" + String.join(",", found) + "],\"Truncated\":" + truncated
            + ",\"CurrentRev\":" + revision + "}");
    }

    private byte[] watch(Map<String, String> query, long start) throws InterruptedException {
        long after = Long.parseLong(query.get("After"));
        long end = start + Long.parseLong(query.get("WaitMs"));
        while (true) {
            if (after < forgotten) return reply(410, "{}");
            List<String> events = new ArrayList<>();
            for (Event event : history) {
                boolean wanted = event.revision > after && event.key.startsWith(query.getOrDefault("Prefix", ""));
                if (wanted) events.add(event.json);
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return reply(200, "{\"events\":[" + String.join(",", events) + "],\"CurrentRev\":" + revision + "}");
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private byte[] transact(Map<String, Object> call) {
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) call.get("Expected")) {
            Map<String, Object> expected = (Map<String, Object>) row;
            String key = (String) expected.get("Key");
            Item item = items.get(key);
            if (item != null) current.add(json(key, item));
            holds &= (item == null ? 0 : item.revision) == ((Double) expected.get("Revision")).longValue();
        }
        if (!holds) return reply(412, "{\"Items\":[" + String.join(",", current) + "]}");
        for (Object row : (List<Object>) call.get("Puts")) {
            long lease = ((Double) ((Map<String, Object>) row).get("Lease")).longValue();
            if (lease != 0 && !leases.containsKey(lease)) return reply(404, "{}");
        }
        for (Object row : (List<Object>) call.get("Puts")) {
            Map<String, Object> put = (Map<String, Object>) row;
            change((String) put.get("Key"), (String) put.get("Value"), ((Double) put.get("Lease")).longValue());
        }
        for (Object key : (List<Object>) call.get("Remove")) if (items.containsKey((String) key)) change((String) key, null, 0);
        return reply(200, "{\"Revision\":" + revision + "}");
    }

    private static byte[] reply(int status, String json) {
        return Http.response(status, "Content-Type: application/json\r\nStore-Era: 0\r\n", json);
    }
}
