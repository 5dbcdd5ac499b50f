import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for an upstream, by the protocol page: a request begins when its last byte has come, connections are kept
 * and closed when they have stood idle, answers carry a load report. What it does for a request is up to the case.
 */
final class Upstream implements AutoCloseable {
    /** The settings' time for an idle connection. */
    private static final int IDLE_MS = 10_000;

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** How an answer ends, or what comes in its place. */
    enum Form {
        /** With its length. */
        LENGTH,
        /** With no length: its end is the end of the connection. */
        UNTIL_CLOSE,
        /** None: the connection is reset. */
        RESET,
        /** The same answer comes a second time. */
        TWICE
    }

    /**
     * What an upstream does for a request.
     *
     * @param workMs how long it works, on one of its cores; 0 for an answer that needs none
     * @param status 503 means that the upstream turns the request away without running it
     * @param laterMs for {@link Form#RESET}: how long after the work the reset comes; for {@link Form#TWICE}: how long
     *     after the first answer the second begins
     */
    record Plan(int workMs, int status, String body, Form form, int laterMs) {}

    /** Decides what happens to a request whose last byte has come. */
    interface Application {
        Plan take(Upstream upstream, Rig.Message request);
    }

    final String uid;
    final String zone;
    final InetSocketAddress address;
    private final Rig.Record record;
    private final Application application;
    private final ServerSocket listener = Rig.listen();
    private final Semaphore cores = new Semaphore(3);
    private final AtomicInteger waiting = new AtomicInteger();

    Upstream(String uid, String zone, Rig.Record record, Application application) throws IOException {
        this.uid = uid;
        this.zone = zone;
        this.record = record;
        this.application = application;
        this.address = (InetSocketAddress) listener.getLocalSocketAddress();
        Rig.daemon(this::accept);
    }

    /** The entry of this upstream in discovery's list. */
    String entry(String state, long bootMs) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + Rig.text(address) + "\",\"az\":\"" + zone
                + "\",\"model\":\"std-3c\",\"pod_group\":1,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
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
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                connection.setSoTimeout(IDLE_MS);
                Rig.Message request = Rig.read(in, false);
                if (request == null || !answer(connection, request)) {
                    return;
                }
            }
        } catch (SocketTimeoutException e) {
            // Idle for too long.
        } catch (IOException | InterruptedException e) {
            record.line(uid + " connection ended: " + e.getMessage());
        }
    }

    /** Answers a request; returns whether the connection goes on. */
    private boolean answer(Socket connection, Rig.Message request) throws IOException, InterruptedException {
        String path = request.start()[1];
        if (path.equals("/alive") || path.equals("/metrics/load")) {
            write(connection, 200, path.equals("/alive") ? "" : load(), true);
            return true;
        }
        String id = request.header("req-id");
        if (id == null || !Rig.SENT_IDS.contains(id)) {
            record.line(uid + " got an id that no client sent: " + id);
            write(connection, id == null ? 404 : 400, "", true);
            return true;
        }
        Plan plan = application.take(this, request);
        if (plan.workMs > 0) {
            work(plan.workMs);
        }
        switch (plan.form) {
            case RESET -> {
                Thread.sleep(plan.laterMs);
                record.line(uid + " resets the connection of " + id);
                Rig.reset(connection);
                return false;
            }
            case UNTIL_CLOSE -> {
                record.line(uid + " answers " + plan.status + " to " + id + ", without a length");
                write(connection, plan.status, plan.body, false);
                connection.shutdownOutput();
                connection.setSoTimeout(1000);
                connection.getInputStream().readAllBytes();
                return false;
            }
            case TWICE -> {
                record.line(uid + " answers " + plan.status + " to " + id + ", and again in " + plan.laterMs + " ms");
                write(connection, plan.status, plan.body, true);
                TIMER.schedule(
                        () -> {
                            try {
                                write(connection, plan.status, plan.body, true);
                                record.line(uid + " has answered " + id + " again");
                            } catch (IOException e) {
                                record.line(uid + " could not answer " + id + " again: " + e.getMessage());
                            }
                        },
                        plan.laterMs,
                        TimeUnit.MILLISECONDS);
                return true;
            }
            default -> {
                record.line(uid + " answers " + plan.status + " to " + id);
                write(connection, plan.status, plan.body, true);
                return true;
            }
        }
    }

    private void work(int workMs) throws InterruptedException {
        waiting.incrementAndGet();
        cores.acquire();
        waiting.decrementAndGet();
        try {
            Thread.sleep(workMs);
        } finally {
            cores.release();
        }
    }

    private String load() {
        return "{\"rate\":20.0,\"lat_ms\":40.0,\"fail_rate\":0.0,\"q\":" + waiting.get() + "}";
    }

    private void write(Socket connection, int status, String body, boolean withLength) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        byte[] content = Rig.bytes(body);
        whole.write(Rig.bytes("HTTP/1.1 " + status + " -\r\nSrv-Load: " + load() + "\r\n"
                + (status == 503 ? "Srv-Declined: 1\r\n" : "")
                + (withLength ? "Content-Length: " + content.length + "\r\n" : "Connection: close\r\n") + "\r\n"));
        whole.write(content);
        synchronized (connection) {
            connection.getOutputStream().write(whole.toByteArray());
        }
    }

    @Override
    public void close() {
        Rig.closeQuietly(listener);
    }
}
