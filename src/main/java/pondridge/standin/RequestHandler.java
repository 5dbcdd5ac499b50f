package pondridge.standin;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Handles requests of one stand-in server independently of the protocol. Runs on the server's loop; the counts
 * may be read on any thread.
 */
final class RequestHandler {
    private static final byte[] PADDING = " ".repeat(200).getBytes(StandardCharsets.US_ASCII);

    /** A complete request. */
    record Request(String id, StandinRequestClass requestClass, String key) {}

    private final String name;
    private final String zone;
    private final FaultScript script;
    private final ExecutionLedger ledger;
    private final IdempotencyKeyStore keyStore;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger peakConnections = new AtomicInteger();
    private final AtomicInteger executions = new AtomicInteger();
    private volatile ColdStart coldStart;
    private volatile ThreadPoolModel threadPool;
    private volatile boolean declining;

    RequestHandler(String name, String zone, FaultScript script, ExecutionLedger ledger, IdempotencyKeyStore keyStore) {
        this.name = name;
        this.zone = zone;
        this.script = script;
        this.ledger = ledger;
        this.keyStore = keyStore;
    }

    /** The request that these headers describe; the id is empty if it does not come from a client. */
    static Request request(CharSequence id, CharSequence className, CharSequence key) {
        return new Request(text(id), StandinRequestClass.named(text(className)), text(key));
    }

    /** The name of the request class that a gRPC path names: its method is the class name without dashes. */
    static CharSequence className(CharSequence path) {
        String method =
                path == null ? "" : path.toString().substring(path.toString().lastIndexOf('/') + 1);
        return StandinRequestClass.DEFAULTS.stream()
                .map(StandinRequestClass::name)
                .filter(name -> name.replace("-", "").equals(method))
                .findFirst()
                .orElse("");
    }

    /** A body framed as a gRPC message, or as the fault requires. */
    static byte[] frame(byte[] body, Fault fault) {
        int messages = fault == Fault.TWO_MESSAGES ? 2 : 1;
        byte[] framed = new byte[messages * (5 + body.length)];
        for (int i = 0; i < messages; i++) {
            int at = i * (5 + body.length);
            int declaredLength = body.length + (fault == Fault.CUT_MESSAGE ? 1 : 0);
            framed[at + 3] = (byte) (declaredLength >> 8);
            framed[at + 4] = (byte) declaredLength;
            System.arraycopy(body, 0, framed, at + 5, body.length);
        }
        return framed;
    }

    private static String text(CharSequence header) {
        return header == null ? "" : header.toString();
    }

    FaultScript script() {
        return script;
    }

    /** Records that the head of a request has arrived. */
    void arrived(Request request) {
        if (!request.id.isEmpty()) {
            ledger.requestArrived(name, request.id);
        }
    }

    /** Makes the server cold from now on; {@link #admit} returns false once it has crashed under load. */
    void setColdStart(ColdStart start) {
        coldStart = start;
    }

    /** Sets whether all requests are declined without execution, as by a draining server. */
    void setDeclining(boolean enabled) {
        declining = enabled;
    }

    boolean declining() {
        return declining;
    }

    /** Counts one more request; false if it crashes the cold server. */
    boolean admit() {
        ColdStart start = coldStart;
        if (start == null || start.admit(System.nanoTime())) {
            return true;
        }
        coldStart = null;
        ledger.coldServerCrashed(name);
        return false;
    }

    /** Limits the requests that are processed at a time and those that wait. */
    void setThreadPool(int threads, int queueCapacity) {
        threadPool = new ThreadPoolModel(threads, queueCapacity);
    }

    /** Whether one more request may be accepted; {@link #responseDelayNanos} then accepts it. */
    boolean hasCapacity() {
        ThreadPoolModel pool = threadPool;
        return pool == null || pool.hasCapacity(System.nanoTime());
    }

    /** The time until the response to a request with this work time: the wait for a thread and the work. */
    long responseDelayNanos(long workNanos) {
        ThreadPoolModel pool = threadPool;
        return pool == null ? workNanos : pool.accept(System.nanoTime(), workNanos);
    }

    /** Executes a request. A repeat of a remembered key is dropped, but gets a response all the same. */
    void execute(Request request) {
        if (request.id.isEmpty()) {
            return;
        }
        executions.incrementAndGet();
        boolean keyed = request.requestClass.effect() == StandinRequestClass.Effect.KEYED;
        if (!keyed || keyStore.recordIfNew(request.requestClass, zone, request.key, System.nanoTime())) {
            ledger.requestExecuted(name, request.id, request.key);
        } else {
            ledger.repeatDropped();
        }
    }

    /** The response body, which begins with the request id. */
    static byte[] body(Request request) {
        byte[] id = request.id.getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[id.length + PADDING.length];
        System.arraycopy(id, 0, body, 0, id.length);
        System.arraycopy(PADDING, 0, body, id.length, PADDING.length);
        return body;
    }

    void connected() {
        peakConnections.accumulateAndGet(connections.incrementAndGet(), Math::max);
    }

    void disconnected() {
        connections.decrementAndGet();
    }

    int connections() {
        return connections.get();
    }

    int peakConnections() {
        return peakConnections.get();
    }

    int executions() {
        return executions.get();
    }
}
