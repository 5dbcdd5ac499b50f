package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pondridge.http1.StubServer;

/** Calls of {@code accept} that fail in a deployed sidecar process, by a library preloaded into it. */
class AcceptFailureIT {
    private static final long SEED = Long.getLong("seed", 648_272);
    private static final int SERVICE_MS = 30;
    private static final int CLIENT_WAIT_MS = 400;
    private static final int REQUESTS_PER_SECOND = 100;
    private static final long DURATION_MS = 6_000;

    @TempDir
    private Path directory;

    private Path compileShim() throws Exception {
        Path library = directory.resolve("failing_accept.so");
        try {
            Process compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-o", library.toString(), "src/test/c/failing_accept.c", "-ldl")
                    .inheritIO()
                    .start();
            assertEquals(0, compiler.waitFor(), "the C compiler's exit status");
        } catch (IOException e) {
            assumeTrue(false, "not run, no C compiler: " + e.getMessage());
        }
        return library;
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 20, 3})
    void requestsAreAnsweredInTimeWhileAcceptFails(int failOneIn) throws Exception {
        Map<String, String> environment =
                Map.of("LD_PRELOAD", compileShim().toString(), "FAIL_ACCEPT_ONE_IN", Integer.toString(failOneIn));
        try (ImpatientClients clients = new ImpatientClients(SEED, CLIENT_WAIT_MS);
                StubServer one = clients.server(SERVICE_MS);
                StubServer two = clients.server(SERVICE_MS);
                DeployedProcess sidecar =
                        new DeployedProcess(directory, ImpatientClients.config(one, two), environment)) {
            sidecar.awaitUp();
            clients.run(sidecar.address, REQUESTS_PER_SECOND, DURATION_MS);
            System.out.println("accept fails one in " + failOneIn + ": seed " + SEED + ", " + clients);
            assertEquals(
                    0,
                    clients.unanswered().size(),
                    () -> clients + " " + clients.unanswered().peek());
            assertEquals(List.of(), clients.attemptsAfterDeparture());
            assertTrue(clients.served() > 0, clients.toString());
            String log = Files.readString(sidecar.log);
            assertTrue(log.contains("event=ACCEPT_FAILED"), log);
            assertTrue(log.lines().noneMatch(line -> line.startsWith("\tat ")), log);
        }
    }
}
