package review.rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What the cases share: the sidecar as a process by the deploy file's command, stand-ins for upstreams, discovery and
 * clients on loopback sockets, and the record. The stand-ins use blocking sockets and a thread for each connection.
 */
public final class Rig implements AutoCloseable {
    public static final int HELD = 0;
    public static final int BROKEN = 1;
    public static final int NOT_RUN = 2;

    private static final double MAX_RUN_MS = 110_000;

    /** Thrown where a case can't run; its message says why. */
    public static final class NotRunException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public NotRunException(String message) {
            super(message);
        }
    }

    /** The body of a case. */
    public interface Body {
        /** Runs the case and returns {@link #HELD} or {@link #BROKEN}. */
        int run(Rig rig) throws Exception;
    }

    private final long startNanos = System.nanoTime();
    private final Path root;
    private final Path temporary;
    private final PrintWriter record;
    private final List<AutoCloseable> resources = new ArrayList<>();
    public final boolean trouble;

    private Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        String setting = System.getenv().getOrDefault("TROUBLE", "1");
        if (!setting.equals("0") && !setting.equals("1")) {
            throw new NotRunException("TROUBLE: expected 0 or 1, not " + setting);
        }
        this.trouble = setting.equals("1");
        this.temporary = Files.createTempDirectory("review");
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
    }

    /** Runs a case with the repository's root and the record file as arguments, and exits with its status. */
    public static void main(String[] arguments, Body body) {
        if (arguments.length != 2) {
            System.err.println("expected: the repository's root and the record file");
            System.exit(NOT_RUN);
        }
        thread(() -> {
            sleep(MAX_RUN_MS);
            System.err.println("could not run: not finished in time");
            System.exit(NOT_RUN);
        });
        int status = NOT_RUN;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            try {
                rig.note("trouble=" + (rig.trouble ? 1 : 0));
                status = body.run(rig);
                String verdict = status == HELD ? "rule held" : status == BROKEN ? "rule broken" : "not run";
                rig.note("exit " + status + ": " + verdict);
                System.out.println("exit " + status + ": " + verdict);
            } catch (Exception e) {
                rig.note("could not run: " + e);
                System.err.println("could not run: " + e);
                status = NOT_RUN;
            }
        } catch (NotRunException e) {
            System.err.println("could not run: " + e.getMessage());
            status = NOT_RUN;
        } catch (Exception e) {
            System.err.println("could not run: " + e);
            status = NOT_RUN;
        }
        Runtime.getRuntime().halt(status);
    }

    /** Milliseconds since the start of the case. */
    public double millis() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes one line to the record. */
    public void note(String line) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%10.1f %s", millis(), line));
        }
    }

    /** Writes one line to the record and to standard output. */
    public void say(String line) {
        note(line);
        System.out.println(line);
    }

    private <T extends AutoCloseable> T closeAtEnd(T resource) {
        synchronized (resources) {
            resources.add(resource);
        }
        return resource;
    }

    @Override
    public void close() throws Exception {
        for (int i = resources.size() - 1; i >= 0; i--) {
            resources.get(i).close();
        }
        synchronized (record) {
            record.flush();
            record.close();
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** A port that is free now on a loopback address. */
    public static int freePort(String host) throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return any.getLocalPort();
        }
    }

    /** Starts a daemon thread. */
    public static Thread thread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void sleep(double millis) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) (millis * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---------------------------------------------------------------- HTTP

    /** A message's first line, headers with names in lower case, and body. */
    public record Message(String first, Map<String, String> headers, byte[] body) {
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** The status of a response. */
        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(80);
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("end of stream");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a message with a Content-Length, or with none and no body. */
    public static Message readMessage(InputStream in) throws IOException {
        String first = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            throw new IOException("a chunked message, which these stand-ins don't read");
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("end of stream within a body");
        }
        return new Message(first, headers, body);
    }

    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    // ------------------------------------------------------------- sidecar

    /** One sidecar process, started with the deploy file's command from the repository's root. */
    public final class Sidecar implements AutoCloseable {
        public final String name;
        public final InetSocketAddress address;
        private final Path configFile;
        private final Path log;
        private Process process;

        private Sidecar(String name, String config, String host, int port) throws IOException {
            this.name = name;
            this.address = new InetSocketAddress(host, port);
            this.configFile = Files.writeString(temporary.resolve(name + ".json"), config);
            this.log = temporary.resolve(name + ".log");
            launch();
        }

        /** Starts the process; also after it has ended. */
        public void launch() throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"))
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("PROXY_CONFIG", configFile.toString());
            process = builder.start();
            Process started = process;
            // The process must not outlive this one if that is ended by a signal.
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            note("started " + name + " pid=" + process.pid() + " listen=" + address);
        }

        public void rewriteConfig(String config) throws IOException {
            Path next = Files.writeString(temporary.resolve(name + ".json.new"), config);
            Files.move(next, configFile, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        public void awaitUp() {
            for (int i = 0; i < 1500; i++) {
                if (!process.isAlive()) {
                    throw new NotRunException(name + " ended before it was ready");
                }
                try (Client client = new Client(address)) {
                    if (client.exchange("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n", new byte[0], 1000).status() == 200) {
                        note(name + " ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(20);
            }
            throw new NotRunException(name + " not ready within 30 s");
        }

        /** Sends a signal by its name. */
        public void signal(String signal) throws Exception {
            note("signal " + signal + " to " + name);
            int status = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            if (status != 0) {
                throw new NotRunException("kill failed for " + name);
            }
        }

        public boolean isAlive() {
            return process.isAlive();
        }

        /** Waits for the end of the process and returns its exit status, or null if it still runs. */
        public Integer exitStatus(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
        }

        /** The process's log so far. */
        public String log() throws IOException {
            return Files.readString(log);
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly();
            process.waitFor();
            note("log of " + name + ":");
            List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            lines.stream().limit(200).forEach(line -> note("  " + line));
            if (lines.size() > 200) {
                note("  and " + (lines.size() - 200) + " lines more");
            }
        }
    }

    public Sidecar sidecar(String name, String config, String host, int port) throws IOException {
        return closeAtEnd(new Sidecar(name, config, host, port));
    }

    private String deployCommand(String key) throws IOException {
        String line = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith(key + " = \""))
                .findFirst()
                .orElseThrow(() -> new NotRunException("no " + key + " in the deploy file"));
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    // -------------------------------------------------------------- client

    /** One client connection. */
    public static final class Client implements AutoCloseable {
        public final Socket socket = new Socket();
        public final InputStream in;
        public final OutputStream out;

        public Client(InetSocketAddress address) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(address, 2000);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            out = socket.getOutputStream();
        }

        public void send(String head, byte[] body) throws IOException {
            byte[] start = bytes(head);
            byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            out.write(all);
            out.flush();
        }

        /** Sends a request and reads its response; a timeout is a {@link java.net.SocketTimeoutException}. */
        public Message exchange(String head, byte[] body, int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            send(head, body);
            return readMessage(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final AtomicLong LAST_ID = new AtomicLong();

    /** A request id that is not used again. */
    public static String newId() {
        return String.format("%08x%08x", LAST_ID.incrementAndGet(), System.nanoTime() & 0xffffffffL);
    }

    /** The head of a request as on the protocol page. */
    public static String head(String method, String id, String kind, String key, long deadlineMs, int length) {
        return method + " /api/" + id + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                + "\r\nReq-Owner: north\r\nReq-Deadline-Ms: " + deadlineMs + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (method.equals("POST") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    // ------------------------------------------------------------ upstream

    /** What an upstream does with a complete request; runs on the connection's thread. */
    public interface Handler {
        void handle(UpstreamConnection connection, Message request) throws Exception;
    }

    /** One connection that an upstream has accepted. */
    public static final class UpstreamConnection {
        public final Upstream upstream;
        public final Socket socket;
        private final OutputStream out;

        private UpstreamConnection(Upstream upstream, Socket socket) throws IOException {
            this.upstream = upstream;
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        public void write(byte[] data) throws IOException {
            synchronized (out) {
                out.write(data);
                out.flush();
            }
        }

        public void respond(String status, String headers, String body) throws IOException {
            write(response(status, headers, body));
        }

        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    public static byte[] response(String status, String headers, String body) {
        return bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + bytes(body).length + "\r\n\r\n" + body);
    }

    /** A stand-in for an upstream. */
    public final class Upstream implements AutoCloseable {
        public final String uid;
        public final String zone;
        public final InetSocketAddress address;
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        public volatile Handler handler;

        private Upstream(String uid, String zone, String host, Handler handler) throws IOException {
            this.uid = uid;
            this.zone = zone;
            this.handler = handler;
            listener = new ServerSocket(0, 512, InetAddress.getByName(host));
            address = (InetSocketAddress) listener.getLocalSocketAddress();
            thread(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    thread(() -> serve(socket));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                UpstreamConnection connection = new UpstreamConnection(this, socket);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                while (true) {
                    handler.handle(connection, readMessage(in));
                }
            } catch (Exception e) {
                // the connection ended
            } finally {
                open.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    public Upstream upstream(String uid, String zone, String host, Handler handler) throws IOException {
        return closeAtEnd(new Upstream(uid, zone, host, handler));
    }

    // ----------------------------------------------------------- discovery

    /** One entry of the list. */
    public record Entry(String uid, InetSocketAddress endpoint, String zone, int cell, String state, long bootMs) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint.getAddress().getHostAddress() + ":"
                    + endpoint.getPort() + "\",\"az\":\"" + zone + "\",\"model\":\"m\",\"pod_group\":" + cell
                    + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    public static Entry entry(Upstream upstream, int cell, String state, long bootMs) {
        return new Entry(upstream.uid, upstream.address, upstream.zone, cell, state, bootMs);
    }

    public static String list(long revision, boolean all, java.util.Collection<Entry> entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
                + entries.stream().map(Entry::json).collect(Collectors.joining(",")) + "]}";
    }

    /**
     * A stand-in for discovery: whole list and watch. A call is answered after {@code delayMillis}, with 503 where that
     * is negative.
     */
    public final class Discovery implements AutoCloseable {
        /** Decides on a call by its path: milliseconds until its answer; negative: 503 after so many. */
        public interface Pace {
            double delayMillis(String path, int number);
        }

        private final ServerSocket listener;
        public final InetSocketAddress address;
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private final Map<String, Entry> deleted = new LinkedHashMap<>();
        private long revision = 41;
        private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
        private int calls;
        public volatile Pace pace = (path, number) -> 0;

        private final class Watch {
            final OutputStream out;
            volatile boolean silent;

            Watch(OutputStream out) {
                this.out = out;
            }

            void line(String text) {
                synchronized (out) {
                    if (silent) {
                        return;
                    }
                    try {
                        byte[] data = bytes(text + "\n");
                        out.write(bytes(Integer.toHexString(data.length) + "\r\n"));
                        out.write(data);
                        out.write(bytes("\r\n"));
                        out.flush();
                    } catch (IOException e) {
                        watches.remove(this);
                    }
                }
            }
        }

        private Discovery(String host, List<Entry> initial) throws IOException {
            initial.forEach(each -> entries.put(each.uid, each));
            initial.forEach(each -> changedAt.put(each.uid, 0L));
            listener = new ServerSocket(0, 64, InetAddress.getByName(host));
            address = (InetSocketAddress) listener.getLocalSocketAddress();
            thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        thread(() -> serve(socket));
                    }
                } catch (IOException e) {
                    // closed
                }
            });
            thread(() -> {
                while (!listener.isClosed()) {
                    sleep(2000);
                    heartbeat();
                }
            });
        }

        /** Writes the empty line that comes while nothing changes. */
        public void heartbeat() {
            watches.forEach(each -> each.line(""));
        }

        /** From now on all open watches write nothing; their connections stay open. */
        public void silence() {
            note("discovery: all open watches fall silent");
            watches.forEach(each -> {
                synchronized (each.out) {
                    each.silent = true;
                }
            });
            watches.clear();
        }

        /** The number of calls so far. */
        public int calls() {
            synchronized (this) {
                return calls;
            }
        }

        public String fullList() {
            synchronized (this) {
                return list(revision, true, entries.values());
            }
        }

        public void change(List<Entry> changed) {
            String line;
            synchronized (this) {
                revision++;
                for (Entry each : changed) {
                    changedAt.put(each.uid, revision);
                    if (each.state.equals("DELETED")) {
                        entries.remove(each.uid);
                        deleted.put(each.uid, each);
                    } else {
                        entries.put(each.uid, each);
                        deleted.remove(each.uid);
                    }
                }
                line = list(revision, false, changed);
            }
            note("discovery: change " + line);
            watches.forEach(each -> each.line(line));
        }

        private void serve(Socket socket) {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Message request = readMessage(in);
                String path = request.first().split(" ")[1];
                int number;
                synchronized (this) {
                    number = ++calls;
                }
                double delay = pace.delayMillis(path, number);
                note("discovery: call " + number + " " + path + " answered after " + delay + " ms");
                sleep(Math.abs(delay));
                OutputStream out = socket.getOutputStream();
                if (delay < 0) {
                    out.write(response("503 Service Unavailable", "Connection: close\r\n", ""));
                    socket.close();
                    note("discovery: call " + number + " ended with 503");
                } else if (!path.contains("watch=1")) {
                    out.write(response("200 OK", "Content-Type: application/json\r\n", fullList() + "\n"));
                } else {
                    out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                    long from = Long.parseLong(path.replaceAll(".*from=(\\d+).*", "$1"));
                    Watch watch = new Watch(out);
                    synchronized (this) {
                        List<Entry> changed = new ArrayList<>();
                        changedAt.forEach((uid, at) -> {
                            if (at > from) {
                                changed.add(entries.containsKey(uid) ? entries.get(uid) : deleted.get(uid));
                            }
                        });
                        watch.line(from > 0 && from <= revision ? list(revision, false, changed) : fullList());
                        note("discovery: call " + number + " answered");
                        watches.add(watch);
                    }
                    while (in.read() >= 0) {
                        // a sidecar sends nothing more
                    }
                    watches.remove(watch);
                }
            } catch (Exception e) {
                // the connection ended
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    public Discovery discovery(String host, List<Entry> initial) throws IOException {
        return closeAtEnd(new Discovery(host, initial));
    }

    // ------------------------------------------------------- configuration

    /** A class of requests in the settings; times in milliseconds. */
    public record Profile(String name, String semantics, String scope, int sloMs, int deadlineMs, int keyTtlMs) {
        String json() {
            return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"keyScope\":\"" + scope
                    + "\",\"slo\":" + sloMs + "000000,\"deadline\":" + deadlineMs + "000000,\"keyTtl\":" + keyTtlMs
                    + "000000,\"worth\":1.0,\"lateShare\":0.0,\"stream\":false}";
        }
    }

    /** The configuration of one sidecar; settings that a case varies are arguments. */
    public static String config(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            String known,
            String discoveryMode,
            int replicas,
            int graceMs,
            List<Profile> profiles) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + text(listen) + "\",\"discovery\":\"" + text(discovery)
                + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                + ",\"settings\":{\"discovery\":\"" + discoveryMode + "\",\"quantum\":5000000,\"rank\":0,\"replicasOfMe\":"
                + replicas + ",\"zone\":0,\"zones\":[\"a\",\"b\",\"c\"],\"kinds\":[\"m\"],\"weights\":\"silent\","
                + "\"valueBy\":\"request\",\"overShareWorth\":0.1,"
                + "\"report\":{\"how\":\"silent\",\"fields\":[]},"
                + "\"caps\":{\"tryLimit\":6,\"connectTimeout\":100000000,\"connIdle\":10000000000,\"maxOpen\":20000,"
                + "\"mayCancel\":true,\"mayProbe\":false,\"parallelTries\":true,\"peers\":false,\"retryAfter\":false,"
                + "\"streamsPerConn\":1,\"maxRetryAfter\":750000000},"
                + "\"charges\":{\"probe\":0.01,\"peer\":0.0},"
                + "\"rules\":{\"answerSlack\":20000000,\"stopSendingWithin\":" + graceMs + "000000,\"coldShare\":0.39,"
                + "\"rampTime\":7400000000,\"overloadFactor\":4.0,\"tipAfter\":1500000000,\"askWithin\":10000000000},"
                + "\"parties\":[{\"name\":\"north\",\"portion\":1.0,\"quotaRps\":1000.0}],\"profiles\":["
                + profiles.stream().map(Profile::json).collect(Collectors.joining(",")) + "]}}";
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
