import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * What the cases of the second review share: the record of a run, HTTP/1.1 messages, the settings of a small
 * deployment, sidecar processes, and clients. Everything listens on 127.0.0.1 and on free ports.
 */
final class Rig {
    /** Exit statuses of a test; run-case.sh turns them into those of a case. */
    static final int HELD = 0;

    static final int BROKEN = 10;
    static final int COULD_NOT_RUN = 2;
    /** A run takes 120 s at most. */
    private static final int LIMIT_SECONDS = 110;

    private Rig() {}

    /** The test of one case. */
    interface Case {
        /** Runs the case; returns whether the rule was kept. */
        boolean run(Record record, boolean trouble) throws Exception;
    }

    /** Runs a case with the disruption, or without it if TROUBLE is 0, and ends the process with its exit status. */
    static void main(String[] args, Case test) {
        int status = COULD_NOT_RUN;
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        if (args.length != 1 || !trouble.equals("0") && !trouble.equals("1")) {
            System.err.println("expected one argument, the file of the record, and TROUBLE unset, 0 or 1");
            System.exit(COULD_NOT_RUN);
        }
        daemon(() -> {
            try {
                TimeUnit.SECONDS.sleep(LIMIT_SECONDS);
            } catch (InterruptedException e) {
                return;
            }
            System.err.println("COULD NOT RUN: not at an end after " + LIMIT_SECONDS + " s");
            System.exit(COULD_NOT_RUN);
        });
        try (Record record = new Record(Path.of(args[0]))) {
            try {
                record.line("run trouble=" + trouble);
                boolean held = test.run(record, trouble.equals("1"));
                record.say(held ? "HELD" : "BROKEN");
                status = held ? HELD : BROKEN;
            } catch (Exception | LinkageError e) {
                record.say("COULD NOT RUN: " + e);
            }
        } catch (IOException e) {
            System.err.println("no record: " + e);
        }
        System.exit(status);
    }

    /** The file with one line for each event, with the milliseconds since its start. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String text) {
            out.printf(Locale.ROOT, "%9.3f %s%n", nowMs(), text);
        }

        /** Writes a line to the record and to standard output. */
        void say(String text) {
            line(text);
            System.out.println(text);
        }

        double nowMs() {
            return (System.nanoTime() - startNanos) / 1e6;
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    /** An HTTP/1.1 message: the parts of its first line, its headers with names in lower case, and its body. */
    record Message(String[] start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(start[1]);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    /**
     * Reads a message with a length or in chunks, or, if it is a response with neither, up to the end of the stream.
     * Returns null if the stream ends before the first byte.
     */
    static Message read(InputStream in, boolean response) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] start = line.split(" ", 3);
        Map<String, String> headers = new TreeMap<>();
        for (line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("end within the head");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readFully(in, size));
                readLine(in);
            }
            readLine(in);
        } else if (headers.containsKey("content-length")) {
            body.write(readFully(in, Integer.parseInt(headers.get("content-length"))));
        } else if (response) {
            in.transferTo(body);
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("end within the body");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end within the body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** A listener on a free port of the loopback address. */
    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    }

    static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // It is closed for good either way.
        }
    }

    /** Closes a connection with a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        closeQuietly(socket);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The settings of the small deployment of the wire page, some of which a case may change. */
    static final class Settings {
        String discovery = "subscribe";
        boolean mayCancel = true;
        int sidecars = 3;
        int graceMs = 2000;
        /** The names of the fields of load reports, quoted and with commas; empty for none. */
        String reportFields = "\"rate\",\"lat_ms\",\"fail_rate\",\"q\"";
        /** Per class: name, aim, deadline, worth, semantics, scope of the keys, and how long keys are kept. */
        List<Object[]> classes = new ArrayList<>(List.of(
                new Object[] {"stock-check", 200, 400, 1, "repeatable", "all", 5000},
                new Object[] {"stock-hold", 400, 1000, 3, "by_key", "zone", 1000},
                new Object[] {"order-confirm", 500, 1500, 10, "by_key", "all", 7500}));

        /** Replaces the row of a class. */
        void replaceClass(Object... row) {
            classes.replaceAll(old -> old[0].equals(row[0]) ? row : old);
        }

        String json() {
            StringBuilder profiles = new StringBuilder();
            for (Object[] row : classes) {
                profiles.append(profiles.isEmpty() ? "" : ",")
                        .append(String.format(
                                Locale.ROOT,
                                "{\"name\":\"%s\",\"slo\":%d000000,\"deadline\":%d000000,\"worth\":%d,"
                                        + "\"semantics\":\"%s\",\"keyScope\":\"%s\",\"keyTtl\":%d000000,"
                                        + "\"lateShare\":0.0,\"stream\":false}",
                                row));
            }
            return String.format(
                    Locale.ROOT,
                    "{\"discovery\":\"%s\",\"quantum\":5000000,\"rank\":0,\"replicasOfMe\":%d,\"tier\":0,\"zone\":0,"
                            + "\"zones\":[\"ebene\",\"port-louis\",\"rose-belle\"],\"kinds\":[\"std-3c\"],"
                            + "\"stages\":[\"order-api\"],\"serviceType\":\"mesh\",\"weights\":\"silent\","
                            + "\"valueBy\":\"request\",\"overShareWorth\":0.1,"
                            + "\"report\":{\"how\":\"%s\",\"fields\":[%s]},"
                            + "\"clients\":{\"marksRetry\":false},"
                            + "\"caps\":{\"mayCancel\":%b,\"mayProbe\":true,\"peers\":false,\"parallelTries\":true,"
                            + "\"retryAfter\":false,\"tryLimit\":6,\"maxOpen\":23821,\"maxRetryAfter\":750000000,"
                            + "\"connectTimeout\":100000000,\"connIdle\":10000000000,\"streamsPerConn\":1,"
                            + "\"cpuUsPerS\":9528,\"cpuUsPerRequest\":0.0},"
                            + "\"charges\":{\"probe\":0.01,\"peer\":0.0},"
                            + "\"rules\":{\"answerSlack\":20000000,\"askWithin\":10000000000,\"coldShare\":0.39,"
                            + "\"overloadFactor\":4.0,\"rampTime\":7400000000,\"stopSendingWithin\":%d000000,"
                            + "\"tipAfter\":1500000000},"
                            + "\"parties\":[{\"name\":\"cycles-moris\",\"portion\":0.5,\"quotaRps\":160.0},"
                            + "{\"name\":\"roue-dor\",\"portion\":0.5,\"quotaRps\":160.0}],"
                            + "\"profiles\":[%s]}",
                    discovery,
                    sidecars,
                    reportFields.isEmpty() ? "silent" : "piggyback",
                    reportFields,
                    mayCancel,
                    graceMs,
                    profiles);
        }
    }

    /** A sidecar process, started by the deploy file's command from the repository's root. */
    static final class Sidecar implements AutoCloseable {
        final InetSocketAddress address;
        private final Process process;
        private final Path directory;
        private final Path config;
        private final String name;
        private final Settings settings;
        private final String known;

        Sidecar(String name, Settings settings, InetSocketAddress discovery, String known) throws IOException {
            this.name = name;
            this.settings = settings;
            this.known = known;
            try (ServerSocket free = listen()) {
                address = (InetSocketAddress) free.getLocalSocketAddress();
            }
            directory = Files.createTempDirectory("review-2-" + name + "-");
            config = directory.resolve("config.json");
            configure(discovery);
            Path temporary = Files.createDirectory(directory.resolve("tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand())
                    .redirectErrorStream(true)
                    .redirectOutput(directory.resolve("log").toFile());
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", text(address));
            builder.environment().put("PROXY_DISCOVERY", text(discovery));
            builder.environment().put("TMPDIR", temporary.toString());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(this)));
        }

        /** Writes the configuration, with this address of discovery. */
        void configure(InetSocketAddress discovery) throws IOException {
            Path next = directory.resolve("config.next");
            Files.writeString(
                    next,
                    String.format(
                            Locale.ROOT,
                            "{\"name\":\"%s\",\"listen\":\"%s\",\"discovery\":\"%s\",\"seed\":\"%s\","
                                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                                    + "\"known\":%s,\"settings\":%s}",
                            name,
                            text(address),
                            text(discovery),
                            Long.toHexString(System.nanoTime()),
                            known,
                            settings.json()));
            Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        private static String runCommand() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IOException("no run command in deploy/balancer.toml");
        }

        void awaitReady() throws Exception {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (true) {
                if (!process.isAlive()) {
                    throw new IOException("the sidecar ended before it was ready: " + log());
                }
                try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                    socket.setSoTimeout(2000);
                    socket.getOutputStream().write(bytes("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"));
                    Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
                    if (answer != null && answer.status() == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                if (System.nanoTime() > deadline) {
                    throw new IOException("the sidecar was not ready within 30 s: " + log());
                }
                Thread.sleep(50);
            }
        }

        String log() throws IOException {
            return Files.readString(directory.resolve("log"));
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Ends the process, copies its log into the record and removes its folder. */
        void end(Record record) throws IOException {
            boolean alive = process.isAlive();
            process.destroyForcibly();
            process.onExit().join();
            log().lines().limit(200).forEach(line -> record.line(name + " log: " + line));
            if (!alive) {
                record.line(name + " had ended by itself");
            }
            close();
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            process.onExit().join();
            if (Files.exists(directory)) {
                try (var files = Files.walk(directory)) {
                    for (Path file :
                            files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                        Files.delete(file);
                    }
                }
            }
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Ids that clients have sent; an upstream answers 400 to any other. */
    static final Set<String> SENT_IDS = ConcurrentHashMap.newKeySet();

    /** What a client got: a status and a body, or status 0 if there was no whole answer. */
    record Answer(int status, String body, double sentMs, double endMs) {}

    /**
     * A client of the application: one request at a time on a connection that it keeps. It sends a request once more
     * on a new connection if the sidecar has closed the one before without a byte of an answer.
     */
    static final class Caller implements AutoCloseable {
        private final InetSocketAddress sidecar;
        private final Record record;
        private Socket socket;
        private InputStream in;

        private final String tenant;

        Caller(InetSocketAddress sidecar, Record record) {
            this(sidecar, record, "cycles-moris");
        }

        Caller(InetSocketAddress sidecar, Record record, String tenant) {
            this.sidecar = sidecar;
            this.record = record;
            this.tenant = tenant;
        }

        /** Sends a request and waits for its answer, {@code overtimeMs} longer than the time that the request tells. */
        Answer call(
                String id, String kind, String method, String path, String key, int timeMs, int overtimeMs, byte[] body)
                throws IOException {
            SENT_IDS.add(id);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                    + "\r\nReq-Kind: " + kind + "\r\nReq-Owner: " + tenant + "\r\nReq-Deadline-Ms: " + timeMs + "\r\n");
            if (key != null) {
                head.append("Idempotency-Key: ").append(key).append("\r\n");
            }
            if (method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(bytes(head.append("\r\n").toString()));
            if (method.equals("POST")) {
                whole.write(body);
            }
            boolean reused = socket != null;
            double sentMs = record.nowMs();
            while (true) {
                try {
                    if (socket == null) {
                        socket = new Socket(sidecar.getAddress(), sidecar.getPort());
                        socket.setTcpNoDelay(true);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    sentMs = record.nowMs();
                    record.line("client sends " + id + " " + kind + (key == null ? "" : " key=" + key) + " within "
                            + timeMs + " ms");
                    socket.getOutputStream().write(whole.toByteArray());
                    socket.setSoTimeout(timeMs + overtimeMs);
                    Message answer = read(in, true);
                    if (answer == null) {
                        throw new EOFException("closed without an answer");
                    }
                    if (answer.closes()) {
                        close();
                    }
                    record.line("client got " + answer.status() + " for " + id + " body=" + answer.text());
                    return new Answer(answer.status(), answer.text(), sentMs, record.nowMs());
                } catch (IOException e) {
                    close();
                    if (reused && !(e instanceof java.net.SocketTimeoutException)) {
                        record.line("client sends once more: " + id + ": " + e.getMessage());
                        reused = false;
                        continue;
                    }
                    record.line("client got nothing for " + id + ": " + e);
                    return new Answer(0, e.toString(), sentMs, record.nowMs());
                }
            }
        }

        @Override
        public void close() {
            if (socket != null) {
                closeQuietly(socket);
                socket = null;
            }
        }
    }
}
