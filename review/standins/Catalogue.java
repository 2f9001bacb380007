/** The configuration that the operator writes: one plain service with a non-idempotent and an idempotent route. */
final class Catalogue {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String SERVICE = "orders-app";

    private Catalogue() {
    }

    /** A version of the configuration in which non-idempotent requests have one attempt and the given timeout. */
    static String configuration(int version, int timeoutMs) {
        return """
            {"Version":%d,"Routes":[
            {"Name":"order-book","Host":"%s","Prefix":"/book/","Kind":"non_idempotent","TimeoutMs":%d,"TargetLatencyMs":300,
            "Priority":2,"Service":"%s","Attempts":1,"Public":false,"StickySessions":false,"Resumable":false},
            {"Name":"job-status","Host":"%s","Prefix":"/status/","Kind":"idempotent","TimeoutMs":%d,"TargetLatencyMs":300,
            "Priority":2,"Service":"%s","Attempts":2,"Public":false,"StickySessions":false,"Resumable":false}],
            "Services":[{"Name":"%s","HealthCheckPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}],
            "Tenants":[{"Name":"hule930","ApiKeys":["%s"]}],
            "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
            """.formatted(version, HOST, timeoutMs, SERVICE, HOST, timeoutMs, SERVICE, SERVICE, KEY);
    }
}
