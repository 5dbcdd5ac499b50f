package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pondridge.http1.StubServer;

/** Standstills of a deployed sidecar process, by SIGSTOP, while clients give up waiting. */
class StandstillIT {
    private static final long SEED = Long.getLong("seed", 648_272);
    private static final int SERVERS = 10;
    private static final int SERVICE_MS = 30;
    private static final int CLIENT_WAIT_MS = 80;
    private static final int REQUESTS_PER_SECOND = 100;
    private static final long DURATION_MS = 9_000;
    private static final long RUN_MS = 1_150;
    private static final long STANDSTILL_AT_SIGTERM_MS = 350;
    /** The longest deadline, of which 3 s count, and 0.7 s. */
    private static final long EARLIEST_SIGKILL_MS = 3_700;

    @TempDir
    private Path directory;

    /** Alternates between running and standing still until the clients have finished. */
    private ImpatientClients playStandstills(long runMs, long stopMs) throws Exception {
        StubServer[] servers = new StubServer[SERVERS];
        try (ImpatientClients clients = new ImpatientClients(SEED, CLIENT_WAIT_MS)) {
            for (int i = 0; i < SERVERS; i++) {
                servers[i] = clients.server(SERVICE_MS);
            }
            try (DeployedProcess sidecar = new DeployedProcess(directory, ImpatientClients.config(servers))) {
                sidecar.awaitUp();
                Thread load = new Thread(() -> {
                    try {
                        clients.run(sidecar.address, REQUESTS_PER_SECOND, DURATION_MS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                load.start();
                while (load.isAlive()) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(runMs));
                    sidecar.signal("STOP");
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(stopMs));
                    sidecar.signal("CONT");
                }
            }
            System.out.println("standstill " + stopMs + " ms: seed " + SEED + ", " + clients);
            List<String> late = clients.attemptsAfterDeparture();
            assertEquals(0, late.size(), () -> clients + ", for example " + late.subList(0, Math.min(5, late.size())));
            return clients;
        } finally {
            for (StubServer server : servers) {
                server.close();
            }
        }
    }

    /** SIGTERM arrives during a standstill: the time until SIGKILL runs from then. */
    @Test
    void openRequestsAreAnsweredBeforeSigkillAfterAStandstillAtSigterm() throws Exception {
        try (StubServer hung = new StubServer((socket, head) -> true);
                DeployedProcess sidecar = new DeployedProcess(directory, SidecarFixture.config(hung))) {
            sidecar.awaitUp();
            try (SidecarFixture.Client client = new SidecarFixture.Client(sidecar.address)) {
                StubServer.write(client.socket, SidecarFixture.safeRequest("a"));
                StubServer.awaitNext(hung.requestHeads);
                sidecar.signal("STOP");
                sidecar.signal("TERM");
                long sigtermAt = System.nanoTime();
                Thread.sleep(STANDSTILL_AT_SIGTERM_MS);
                sidecar.signal("CONT");
                assertEquals(503, client.readResponse().status());
                long answeredAfterMs = (System.nanoTime() - sigtermAt) / 1_000_000;
                assertTrue(answeredAfterMs < EARLIEST_SIGKILL_MS, answeredAfterMs + " ms after SIGTERM");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {200, 350, 600})
    void noAttemptBeginsAfterItsClientLeftDuringAStandstill(long stopMs) throws Exception {
        ImpatientClients clients = playStandstills(RUN_MS, stopMs);
        assertTrue(clients.served() > 0, clients.toString());
    }

    /** As a small CPU quota does, with code that is not compiled yet: 10 ms of each 0.1 s to run. */
    @Test
    void noAttemptBeginsAfterItsClientLeftWhileTheProcessIsThrottled() throws Exception {
        playStandstills(10, 90);
    }
}
