package pondridge.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pondridge.core.Json;

/**
 * A child process that runs the packaged jar with the JVM flags and the class data archive of the deploy file.
 * Its standard input is a pipe from this process: a child started with {@code --with-parent} exits when the
 * pipe closes, hence also when this process is killed. Its log is read line by line. Methods may be called on
 * any thread.
 */
public final class ChildProcess implements AutoCloseable {
    private static final String JAR = "pondridge.jar";
    private static final int MAX_LINES = 10_000;
    private static final int TIMEOUT_S = 30;

    /**
     * A line of a process's JSON log.
     *
     * @param processName the name that the process was started with
     * @param receivedAtNanos when this process received the line, by {@link System#nanoTime}
     */
    public record LogLine(String processName, long receivedAtNanos, JsonNode json) {
        /** The kind of event that the line reports. */
        public String event() {
            return json.path("event").asText();
        }
    }

    private final String name;
    private final Process process;
    private final ArrayDeque<LogLine> lines = new ArrayDeque<>();
    private final ArrayDeque<String> otherOutput = new ArrayDeque<>();
    private final Consumer<LogLine> listener;

    private ChildProcess(String name, Process process, Consumer<LogLine> listener) {
        this.name = name;
        this.process = process;
        this.listener = listener;
        Thread reader = new Thread(this::read, "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts a process.
     *
     * @param name for messages
     * @param mainClass a class of the packaged jar
     * @param listener receives each line of the process's log, on a thread for this process alone
     */
    public static ChildProcess start(
            String name,
            String mainClass,
            List<String> arguments,
            Map<String, String> environment,
            Consumer<LogLine> listener)
            throws IOException {
        Path jar = jar();
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:SharedArchiveFile=" + jar.resolveSibling("pondridge.jsa"),
                "-Xshare:auto",
                "-Xlog:cds=off",
                "-Xlog:cds+dynamic=off",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms16m",
                "-Xmx96m",
                "-Xss256k",
                "-XX:-UsePerfData",
                "-Dio.netty.allocator.type=unpooled",
                "-Dio.netty.noPreferDirect=true",
                "-cp",
                jar.toString(),
                mainClass));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        return new ChildProcess(name, builder.start(), listener);
    }

    /** The packaged jar: the one that holds this class, or the build output beside the class folder. */
    private static Path jar() throws IOException {
        try {
            Path location = Path.of(ChildProcess.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            Path jar = Files.isDirectory(location) ? location.resolveSibling(JAR) : location;
            if (!Files.isRegularFile(jar)) {
                throw new IOException("cannot start a child process: packaged jar not found at " + jar);
            }
            return jar;
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
    }

    private void read() {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                addLine(text);
            }
        } catch (IOException e) {
            // The process has ended, perhaps in the middle of a line.
        }
        synchronized (this) {
            notifyAll();
        }
    }

    private void addLine(String text) {
        LogLine line = null;
        try {
            JsonNode json = text.startsWith("{") ? Json.MAPPER.readTree(text) : null;
            line = json == null ? null : new LogLine(name, System.nanoTime(), json);
        } catch (JsonProcessingException e) {
            // An incomplete line or other output; kept for error messages.
        }
        synchronized (this) {
            if (line == null) {
                otherOutput.add(text);
                if (otherOutput.size() > MAX_LINES) {
                    otherOutput.poll();
                }
            } else {
                lines.add(line);
                if (lines.size() > MAX_LINES) {
                    lines.poll();
                }
            }
            notifyAll();
        }
        if (line != null) {
            listener.accept(line);
        }
    }

    /** Waits for a log line that meets the condition and returns the first such line. */
    public synchronized LogLine awaitLine(Predicate<LogLine> condition) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        try {
            while (true) {
                for (LogLine line : lines) {
                    if (condition.test(line)) {
                        return line;
                    }
                }
                if (!process.isAlive() || System.nanoTime() - deadline > 0) {
                    throw new IOException(name
                            + (process.isAlive()
                                    ? ": expected log line not seen within " + TIMEOUT_S + " s"
                                    : ": exited with status " + process.exitValue() + " before the expected log line")
                            + "; other output: " + String.join(" | ", otherOutput));
                }
                wait(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    public String name() {
        return name;
    }

    public ProcessHandle handle() {
        return process.toHandle();
    }

    /** CPU time that it has used so far, in nanoseconds; 0 if the operating system does not report it. */
    public long cpuNanos() {
        return process.info().totalCpuDuration().map(each -> each.toNanos()).orElse(0L);
    }

    /** Kills it forcibly and waits for its exit. */
    public void kill() {
        process.destroyForcibly();
        process.onExit()
                .orTimeout(TIMEOUT_S, TimeUnit.SECONDS)
                .exceptionally(timeout -> null)
                .join();
    }

    /**
     * Stops it with SIGSTOP and continues it after this time. A separate shell sends both signals and survives
     * if this process is killed meanwhile, so that no stopped process is left behind.
     */
    public void pause(long millis) throws IOException {
        String pid = Long.toString(process.pid());
        Process stopper = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "kill -STOP $0 || exit 1; echo stopped; sleep $1; kill -CONT $0",
                        pid,
                        String.format(Locale.ROOT, "%.3f", millis / 1e3))
                .start();
        if (stopper.inputReader().readLine() == null) {
            throw new IOException("cannot pause " + name + ": process has exited");
        }
    }

    /** Terminates it with SIGTERM and waits for its exit; kills it after {@link #TIMEOUT_S}. */
    @Override
    public void close() {
        process.destroy();
        try {
            process.onExit().get(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            // kill() below ends it.
        }
        kill();
    }
}
