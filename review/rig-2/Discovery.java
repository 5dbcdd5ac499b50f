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
    private static final long EMPTY_LINE_MS = 2_000;

    private record Change(long rev, String uid, String entry) {}

    final InetSocketAddress address;
    private final ServerSocket listener = Rig.listen();
    private final Rig.Record record;
    private final Map<String, String> serving = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long rev = 41;
    private volatile int waitMs;

    Discovery(Rig.Record record) throws IOException {
        this.record = record;
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
        long told = from;
        boolean first = true;
        while (true) {
            String line = "";
            synchronized (this) {
                if (first && told < 41) {
                    line = list();
                } else {
                    if (!first && told >= rev) {
                        wait(EMPTY_LINE_MS);
                    }
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

    @Override
    public void close() {
        Rig.closeQuietly(listener);
    }
}
