package pondridge.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Runs the packaged jar as a process: exit status, standard error, and no partial frame on standard output. */
class PackagedJarIT {
    private record Result(int status, byte[] out, String err) {}

    private static Result run(byte[] input, String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar", "target/pondridge.jar"));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).start();
        try (OutputStream in = process.getOutputStream()) {
            in.write(input);
        } catch (IOException e) {
            // The process may have rejected its arguments and exited before it read the input.
        }
        byte[] out = process.getInputStream().readAllBytes();
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Result(process.waitFor(), out, err);
    }

    @Test
    void endOfInputEndsWithStatusZero() throws Exception {
        Result result = run(new byte[0], "adapter");
        assertEquals(0, result.status);
        assertEquals(0, result.out.length);
    }

    @Test
    void malformedInputEndsWithAMessageAndNoOutput() throws Exception {
        byte[] frame = new AdapterProtocolTest.Frame()
                .createInstance(1, AdapterProtocolTest.OPTIONS)
                .bytes(1);
        Map<String, byte[]> inputByError = Map.of(
                "header cut short",
                new byte[] {1, 2, 3},
                "ends after",
                Arrays.copyOf(frame, frame.length - 3),
                "unknown event code 99",
                new AdapterProtocolTest.Frame().record(99).end().bytes(1),
                "setting missing: rules.rampTime",
                new AdapterProtocolTest.Frame()
                        .createInstance(1, AdapterProtocolTest.OPTIONS.replace("rules.rampTime", "x"))
                        .bytes(1));
        for (Map.Entry<String, byte[]> entry : inputByError.entrySet()) {
            Result result = run(entry.getValue(), "adapter");
            assertEquals(1, result.status, entry.getKey());
            assertEquals(0, result.out.length, entry.getKey());
            assertTrue(result.err.contains("frame 0: ") && result.err.contains(entry.getKey()), result.err);
            assertTrue(result.err.strip().lines().count() == 1, "one line, no stack trace: " + result.err);
        }
    }

    @Test
    void repliesBeforeAMalformedFrameAreComplete() throws Exception {
        byte[] frame = new AdapterProtocolTest.Frame().bytes(5);
        Result result = run(AdapterProtocolTest.join(frame, frame, new byte[] {9}), "adapter");
        assertEquals(1, result.status);
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 8, 0, 0, 0}, result.out);
        assertTrue(result.err.contains("frame 2: header cut short"), result.err);
    }

    @Test
    void wrongArgumentsShowUsage() throws Exception {
        Result result = run(new byte[0]);
        assertEquals(2, result.status);
        assertTrue(result.err.startsWith("usage:"), result.err);
    }
}
