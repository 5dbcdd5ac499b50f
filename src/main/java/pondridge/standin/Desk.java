package pondridge.standin;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What a stand-in server does with requests, whatever protocol they come by. Of one server, on its loop; the
 * counts may be read anywhere.
 */
final class Desk {
    private static final byte[] FILLING = " ".repeat(200).getBytes(StandardCharsets.US_ASCII);

    /** A request, whole. */
    record Order(String id, OrderClass kind, String key) {}

    private final String name;
    private final String zone;
    private final FaultScript script;
    private final EffectLedger ledger;
    private final KeyMemory memory;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger mostConnections = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private volatile ColdStart cold;
    private volatile Threads threads;
    private volatile boolean declining;

    Desk(String name, String zone, FaultScript script, EffectLedger ledger, KeyMemory memory) {
        this.name = name;
        this.zone = zone;
        this.script = script;
        this.ledger = ledger;
        this.memory = memory;
    }

    /** An order as the headers tell it; the id is empty for what is no request of a client's. */
    static Order order(CharSequence id, CharSequence kind, CharSequence key) {
        return new Order(text(id), OrderClass.named(text(kind)), text(key));
    }

    /** The class that a gRPC path names: its method is the class's name without dashes. */
    static CharSequence kind(CharSequence path) {
        String method =
                path == null ? "" : path.toString().substring(path.toString().lastIndexOf('/') + 1);
        return OrderClass.USUAL.stream()
                .map(OrderClass::name)
                .filter(name -> name.replace("-", "").equals(method))
                .findFirst()
                .orElse("");
    }

    /** A body as gRPC's message, or as what a fault makes of it. */
    static byte[] framed(byte[] body, Fault fault) {
        int times = fault == Fault.TWO_MESSAGES ? 2 : 1;
        byte[] framed = new byte[times * (5 + body.length)];
        for (int i = 0; i < times; i++) {
            int at = i * (5 + body.length);
            int told = body.length + (fault == Fault.CUT_MESSAGE ? 1 : 0);
            framed[at + 3] = (byte) (told >> 8);
            framed[at + 4] = (byte) told;
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

    /** The first of it has come. */
    void arrived(Order order) {
        if (!order.id.isEmpty()) {
            ledger.arrived(name, order.id);
        }
    }

    /** From now on the server is cold; false from {@link #admit} once it has fallen over. */
    void cold(ColdStart start) {
        cold = start;
    }

    /** From now on all is turned away unseen, as a draining server does; or no longer. */
    void decline(boolean on) {
        declining = on;
    }

    boolean declining() {
        return declining;
    }

    /** Whether the server still stands with this one more. */
    boolean admit() {
        ColdStart start = cold;
        if (start == null || start.admit(System.nanoTime())) {
            return true;
        }
        cold = null;
        ledger.pushedOver(name);
        return false;
    }

    /** From now on so many requests are worked on at a time, and up to so many more wait. */
    void threads(int count, int queue) {
        threads = new Threads(count, queue);
    }

    /** Whether one more may wait; its work is then {@link #took}. */
    boolean room() {
        Threads its = threads;
        return its == null || its.room(System.nanoTime());
    }

    /** How long until a request is answered whose work takes so long: the wait for a thread, and the work. */
    long took(long work) {
        Threads its = threads;
        return its == null ? work : its.begin(System.nanoTime(), work);
    }

    /** Runs an order; a repeat that is remembered is dropped and answered all the same. */
    void run(Order order) {
        if (order.id.isEmpty()) {
            return;
        }
        runs.incrementAndGet();
        boolean keyed = order.kind.effect() == OrderClass.Effect.KEYED;
        if (!keyed || memory.first(order.kind, zone, order.key, System.nanoTime())) {
            ledger.ran(name, order.id, order.key);
        } else {
            ledger.dropped();
        }
    }

    /** The body of an order's answer, which names it. */
    static byte[] body(Order order) {
        byte[] id = order.id.getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[id.length + FILLING.length];
        System.arraycopy(id, 0, body, 0, id.length);
        System.arraycopy(FILLING, 0, body, id.length, FILLING.length);
        return body;
    }

    void connected() {
        mostConnections.accumulateAndGet(connections.incrementAndGet(), Math::max);
    }

    void disconnected() {
        connections.decrementAndGet();
    }

    int connections() {
        return connections.get();
    }

    int mostConnections() {
        return mostConnections.get();
    }

    int runs() {
        return runs.get();
    }
}
