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
 * A process of the shipped program, started from the jar that this class is in, with the flags and the class
 * archive of the deploy file. Its standard input is a pipe from here: started with {@code --with-parent} it
 * ends when that ends, so also when this process is killed. What it logs is read line by line. Methods may be
 * called on any thread.
 */
public final class Child implements AutoCloseable {
    private static final String JAR = "pondridge.jar";
    private static final int MOST_LINES = 10_000;
    private static final int LIMIT_S = 30;

    /** One line of a process's log, and when it came here by {@link System#nanoTime}. */
    public record Line(String from, long at, JsonNode json) {
        /** The kind of event that it tells. */
        public String event() {
            return json.path("event").asText();
        }
    }

    private final String name;
    private final Process process;
    private final ArrayDeque<Line> lines = new ArrayDeque<>();
    private final ArrayDeque<String> words = new ArrayDeque<>();
    private final Consumer<Line> listener;

    private Child(String name, Process process, Consumer<Line> listener) {
        this.name = name;
        this.process = process;
        this.listener = listener;
        Thread reader = new Thread(this::read, "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts one.
     *
     * @param name for messages
     * @param mainClass of the shipped program
     * @param listener told of each line of its log, on a thread of its own
     */
    public static Child start(
            String name,
            String mainClass,
            List<String> arguments,
            Map<String, String> environment,
            Consumer<Line> listener)
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
        return new Child(name, builder.start(), listener);
    }

    /** The jar that is shipped: the one that this class came from, or the one that the build has left. */
    private static Path jar() throws IOException {
        try {
            Path from = Path.of(Child.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            Path jar = Files.isDirectory(from) ? from.resolveSibling(JAR) : from;
            if (!Files.isRegularFile(jar)) {
                throw new IOException("processes are started from the packaged jar; there is none at " + jar);
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
                take(text);
            }
        } catch (IOException e) {
            // It has ended, perhaps within a line.
        }
        synchronized (this) {
            notifyAll();
        }
    }

    private void take(String text) {
        Line line = null;
        try {
            JsonNode json = text.startsWith("{") ? Json.MAPPER.readTree(text) : null;
            line = json == null ? null : new Line(name, System.nanoTime(), json);
        } catch (JsonProcessingException e) {
            // Torn, or no log line: kept as words.
        }
        synchronized (this) {
            if (line == null) {
                words.add(text);
                if (words.size() > MOST_LINES) {
                    words.poll();
                }
            } else {
                lines.add(line);
                if (lines.size() > MOST_LINES) {
                    lines.poll();
                }
            }
            notifyAll();
        }
        if (line != null) {
            listener.accept(line);
        }
    }

    /** The first line of its log that is so, once there is one. */
    public synchronized Line await(Predicate<Line> wanted) throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        try {
            while (true) {
                for (Line line : lines) {
                    if (wanted.test(line)) {
                        return line;
                    }
                }
                if (!process.isAlive() || System.nanoTime() - until > 0) {
                    throw new IOException(
                            name + (process.isAlive() ? " doesn't say so" : " has ended with " + process.exitValue())
                                    + "; " + String.join(" | ", words));
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

    /** Its processor time so far, in nanoseconds; 0 where that can't be told. */
    public long cpuNanos() {
        return process.info().totalCpuDuration().map(each -> each.toNanos()).orElse(0L);
    }

    /** Kills it outright, whatever it is doing, and waits for its end. */
    public void kill() {
        process.destroyForcibly();
        process.onExit()
                .orTimeout(LIMIT_S, TimeUnit.SECONDS)
                .exceptionally(late -> null)
                .join();
    }

    /**
     * Stops it for some time, as by SIGSTOP, and continues it. The shell that does so outlives this process
     * if it is killed meanwhile: no stopped process stays behind.
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
            throw new IOException(name + " can't be stopped: it has ended");
        }
    }

    /** Asks it to end in order, as SIGTERM does, and waits; what takes too long is killed. */
    @Override
    public void close() {
        process.destroy();
        try {
            process.onExit().get(LIMIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            // Killed below.
        }
        kill();
    }
}
