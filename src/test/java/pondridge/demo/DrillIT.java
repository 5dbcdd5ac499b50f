package pondridge.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Drills with gateways as processes of the packaged jar; the ledger must find no broken rule. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DrillIT {
    private static final long EXIT_TIMEOUT_S = 60;

    @TempDir
    private Path folder;

    /** Low rates and a long client timeout, because six freshly started processes share one core. */
    private static final String LIGHT_LOAD =
            """
            wait = "8s"
            [site_plan.sites.ebene]
            asked = { stock-check = 12, stock-hold = 9, order-confirm = 8 }
            [site_plan.sites.port-louis]
            asked = { stock-check = 6, stock-hold = 4, order-confirm = 4 }
            [site_plan.sites.rose-belle]
            asked = { stock-check = 6, stock-hold = 4, order-confirm = 4 }
            """;

    private DrillReport runDrill(String text) throws Exception {
        Path file = Files.writeString(
                folder.resolve("drill.toml"),
                "[drill]\nbase = \"" + Path.of("drills", "site-loss.toml").toAbsolutePath() + "\"\n" + text);
        try (Drill drill = new Drill(DrillPlan.read(file), System.out::println)) {
            DrillReport report = drill.run();
            report.lines().forEach(System.out::println);
            assertTrue(report.verdict().passed(), () -> report.verdict().toString());
            return report;
        }
    }

    /** While a site is cut off, one of its gateways is killed and restarted and one of another site is paused. */
    @Test
    void servesALostSiteWhileGatewaysRestart() throws Exception {
        DrillReport report = runDrill(
                """
                length = "9s"
                """ + LIGHT_LOAD
                        + """
                [steps]
                loss = { at = "1s", do = "cut", site = "ebene" }
                kill = { at = "2s", do = "kill", site = "ebene", gateway = 0 }
                stop = { at = "3s", do = "stop", site = "rose-belle", gateway = 0, for = "2s" }
                start = { at = "4s", do = "start", site = "ebene", gateway = 0 }
                return = { at = "6s", do = "cold", site = "ebene" }
                """);
        assertTrue(
                report.phaseAfter("loss", "ebene").servedUtilityShare() > 0.5,
                "served by the other sites during the loss");
        assertTrue(report.phaseAfter("return", "ebene").servedUtilityShare() > 0.5, "served after the loss");
    }

    /** The drill is killed while one of its gateway processes is paused: all of them must still exit. */
    @Test
    void gatewayProcessesExitWhenTheDrillIsKilled() throws Exception {
        Path file = Files.writeString(
                folder.resolve("drill.toml"),
                "[drill]\nbase = \""
                        + Path.of("drills", "site-loss.toml").toAbsolutePath()
                        + "\"\nlength = \"60s\"\nwarm_up = \"0ms\"\n[steps]\n"
                        + "stop = { at = \"0ms\", do = \"stop\", site = \"ebene\", gateway = 0, for = \"3s\" }\n");
        Process drillProcess = new ProcessBuilder("bin/bankflow", "drill", file.toString()).start();
        List<ProcessHandle> children = new ArrayList<>();
        try (BufferedReader out = drillProcess.inputReader()) {
            String line = out.readLine();
            while (line != null && !line.contains("stop")) {
                line = out.readLine();
            }
            drillProcess.descendants().forEach(children::add);
            assertTrue(children.size() >= 6, children::toString);
        } finally {
            drillProcess.destroyForcibly();
        }
        for (ProcessHandle child : children) {
            child.onExit().get(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
        }
        assertEquals(0, children.stream().filter(ProcessHandle::isAlive).count());
    }
}
