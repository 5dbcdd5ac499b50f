import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for discovery, by the protocol page: whole lists, and watches with an empty line every 2 s. */
final class Discovery implements AutoCloseable {
    private static final long EMPTY_LINE_NANOS = 2_000_000_000L;
    /** The version of the list before any change that this service knows of. */
    private static final long FIRST_REV = 41;

    /** How long a call may wait for its turn. */
    private static final long CALL_LIMIT_NANOS = 2_000_000_000L;

    private record Change(long rev, String uid, String entry) {}

    final InetSocketAddress address;
    private final ServerSocket listener = Rig.listen();
    private final Rig.Record record;
    private final Map<String, String> serving = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long rev = FIRST_REV;
    private volatile int waitMs;
    /** The queue's calls one after another: how long each takes, or 0 for any number at once. */
    private final int callMs;

    private long busyUntilNanos = System.nanoTime();
    /** Grows when the open watches fall silent. */
    private int generation;

    private int openWatches;
    private final long startNanos = System.nanoTime();

    Discovery(Rig.Record record) throws IOException {
        this(record, 0);
    }

    /** A service that works through calls in turn; a call that would wait for over 2 s ends with 503 after them. */
    Discovery(Rig.Record record, int callMs) throws IOException {
        this.record = record;
        this.callMs = callMs;
        this.address = (InetSocketAddress) listener.getLocalSocketAddress();
        Rig.daemon(this::accept);
    }

    /** Sets an upstream's entry; {@code gone} removes it from the whole list. */
    synchronized void set(String uid, String entry, boolean gone) {
        rev++;
        changes.add(new Change(rev, uid, entry));
        if (gone) {
            serving.remove(uid);
        } else {
            serving.put(uid, entry);
        }
        record.line("discovery rev " + rev + ": " + entry);
        notifyAll();
    }

    /** From now on a call waits this long for its turn; the limit of a call's wait is 2 s. */
    void setWait(int newWaitMs) {
        waitMs = newWaitMs;
    }

    /**
     * All open watches fall silent 0.1 s after an empty line, the first at which as many as {@code watches} are open;
     * new ones work. Returns whether that came within 20 s.
     */
    boolean silenceAfterLine(int watches) throws InterruptedException {
        for (int line = 0; line < 10; line++) {
            Thread.sleep(Math.max(0, (nextTick() - System.nanoTime()) / 1_000_000) + 100);
            synchronized (this) {
                if (openWatches >= watches) {
                    generation++;
                    record.line(openWatches + " watches fall silent");
                    return true;
                }
            }
        }
        return false;
    }

    synchronized int openWatches() {
        return openWatches;
    }

    /** Waits for the call's turn; returns whether it came within the limit. */
    private boolean waitForTurn() throws InterruptedException {
        long untilNanos;
        boolean inTime;
        synchronized (this) {
            long now = System.nanoTime();
            long done = Math.max(now, busyUntilNanos) + callMs * 1_000_000L;
            inTime = done - now <= CALL_LIMIT_NANOS;
            if (inTime) {
                busyUntilNanos = done;
            }
            untilNanos = inTime ? done : now + CALL_LIMIT_NANOS;
        }
        Thread.sleep(Math.max(0, (untilNanos - System.nanoTime()) / 1_000_000));
        return inTime;
    }

    /** The whole list, as one JSON object. */
    synchronized String list() {
        return "{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + String.join(",", serving.values()) + "]}";
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                Rig.daemon(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            Rig.Message request = Rig.read(new BufferedInputStream(connection.getInputStream()), false);
            if (request == null) {
                return;
            }
            String path = request.start()[1];
            OutputStream out = connection.getOutputStream();
            record.line("discovery " + Rig.text(address) + " is called: " + path);
            Thread.sleep(waitMs);
            if (callMs > 0 && !waitForTurn()) {
                record.line("discovery " + Rig.text(address) + " answers 503: " + path);
                out.write(Rig.bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            if (path.contains("watch=1")) {
                watch(out, Long.parseLong(path.replaceAll(".*from=", "")));
            } else {
                byte[] body = Rig.bytes(list() + "\n");
                out.write(Rig.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
            }
        } catch (IOException | InterruptedException e) {
            // The watch has ended.
        }
    }

    private void watch(OutputStream out, long from) throws IOException, InterruptedException {
        out.write(Rig.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int openedIn;
        synchronized (this) {
            openedIn = generation;
            openWatches++;
        }
        try {
            write(out, from, openedIn);
        } finally {
            synchronized (this) {
                openWatches--;
            }
        }
    }

    private void write(OutputStream out, long from, int openedIn) throws IOException, InterruptedException {
        long told = from;
        boolean first = true;
        while (true) {
            String line = "";
            synchronized (this) {
                long tick = nextTick();
                while (!first && told >= rev && generation == openedIn && System.nanoTime() < tick) {
                    wait(Math.max(1, (tick - System.nanoTime()) / 1_000_000));
                }
                while (generation != openedIn) {
                    wait();
                }
                if (first && told < FIRST_REV) {
                    line = list();
                } else {
                    long after = told;
                    List<String> entries = changes.stream()
                            .filter(change -> change.rev > after)
                            .map(Change::entry)
                            .toList();
                    if (!entries.isEmpty()) {
                        line = "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + String.join(",", entries) + "]}";
                    }
                }
                told = Math.max(told, rev);
            }
            first = false;
            out.write(Rig.bytes(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n"));
            out.flush();
            if (!line.isEmpty()) {
                record.line("discovery " + Rig.text(address) + " has told: " + line);
            }
        }
    }

    /** When the next empty line is due, which all watches get at the same time. */
    private long nextTick() {
        long sinceStart = System.nanoTime() - startNanos;
        return startNanos + (sinceStart / EMPTY_LINE_NANOS + 1) * EMPTY_LINE_NANOS;
    }

    @Override
    public void close() {
        Rig.closeQuietly(listener);
    }
}
