package review2;

/** The operator's configuration of a small installation with one plain service. */
final class Configuration {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String UNSAFE = "/puxa403/2f";
    static final String SAFE = "/cufi504/fi50/2f";
    static final String STREAM = "/lohu930/2f";

    private Configuration() {
    }

    static String text(int version) {
        return """
            {"Version":%d,"Routes":[
              {"Name":"r-book","Host":"ficu95.example","Prefix":"/puxa403/","Kind":"non_idempotent","TimeoutMs":8000,
               "TargetLatencyMs":386,"Priority":2,"Service":"wuno96b","Attempts":2,"Public":false},
              {"Name":"r-read","Host":"ficu95.example","Prefix":"/cufi504/","Kind":"idempotent","TimeoutMs":8000,
               "TargetLatencyMs":386,"Priority":2,"Service":"wuno96b","Attempts":2,"Public":false},
              {"Name":"r-stream","Host":"ficu95.example","Prefix":"/lohu930/","Kind":"streaming","TimeoutMs":8000,
               "TargetLatencyMs":500,"TargetGapMs":300,"Priority":2,"Service":"wuno96b","Attempts":2,"Public":false,
               "Resumable":true}],
             "Services":[{"Name":"wuno96b","HealthCheckPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}],
             "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
             "Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}
            """.formatted(version);
    }

    static String server(int port, String state, long sequence, long born) {
        return ("{\"Service\":\"wuno96b\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"sapporo\",\"Version\":\"v1\",\"Slots\":18,"
            + "\"State\":\"%s\",\"ColdRemainingMs\":0,\"Sequence\":%d,\"born\":%d}").formatted(port, state, sequence, born);
    }

    /** The head of a request as consumers send it. */
    static String head(String method, String path, String id, int deadline, int bodyBytes) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id + "\r\nDeadline-Remaining: "
            + deadline + "\r\nApi-Key: " + KEY + "\r\n" + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n")
            + "\r\n";
    }
}
