package pondridge.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pondridge.demo.Certificates;
import pondridge.demo.SiteTestbed;
import pondridge.demo.StandinOptions;
import pondridge.standin.ExecutionLedger;
import pondridge.standin.ExecutionLedger.Verdict;
import pondridge.standin.OpenLoopLoadGenerator;

/** Runs two sites on loopback under load and cuts one of them off from its servers for a third of the time. */
@Command(
        name = "demo",
        description =
                "Runs two sites of stand-in servers under load; one is cut off from them for a third of the time.")
final class DemoCommand implements Callable<Integer> {
    private static final long MS = 1_000_000;
    private static final int CLIENT_TIMEOUT_MS = 2_000;
    private static final int DRAIN_TIMEOUT_S = 30;
    private static final Map<String, Double> CLASS_SHARES = shares();

    @Spec
    private CommandSpec spec;

    @Option(names = "--seconds", defaultValue = "24", description = "duration of the load in seconds: 3 to 600")
    private int seconds;

    @Option(names = "--rate", defaultValue = "150", description = "requests per second at each site: 1 to 2000")
    private int rate;

    @Option(
            names = "--delay-ms",
            defaultValue = "20",
            description = "one-way delay of the link in milliseconds: 0 to 1000")
    private int delayMs;

    @Option(names = "--seed", defaultValue = "1", description = "seed for arrivals, processing times and link jitter")
    private long seed;

    @Option(names = "--log", description = "print the gateways' log on standard error")
    private boolean log;

    private static Map<String, Double> shares() {
        Map<String, Double> shares = new LinkedHashMap<>();
        shares.put("stock-check", 0.4);
        shares.put("stock-hold", 0.25);
        shares.put("order-confirm", 0.25);
        shares.put("order-book", 0.1);
        return shares;
    }

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        checkRange("--seconds", seconds, 3, 600);
        checkRange("--rate", rate, 1, 2000);
        checkRange("--delay-ms", delayMs, 0, 1000);
        ((Logger) LoggerFactory.getLogger("bankflow")).setLevel(log ? Level.INFO : Level.OFF);
        PrintWriter out = spec.commandLine().getOut();
        Path folder = Files.createTempDirectory("bankflow-demo");
        try {
            Certificates certificates = new Certificates(folder);
            SiteTestbed.TestbedConfig config =
                    new SiteTestbed.TestbedConfig(List.of("a", "b"), 4, 1, 5 * MS, delayMs * MS, delayMs * MS / 4, "");
            try (SiteTestbed sites = new SiteTestbed(
                    config,
                    StandinOptions.withDeadline(CLIENT_TIMEOUT_MS),
                    seed,
                    site -> securitySettings(certificates, site))) {
                out.printf(
                        "two sites, 4 servers and a gateway each, %d ms between them one way, mutual TLS,"
                                + " %d requests/s at each%n",
                        delayMs, rate);
                out.flush();
                return run(sites, out);
            }
        } finally {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }

    private void checkRange(String option, int value, int min, int max) {
        if (value < min || value > max) {
            throw new ParameterException(
                    spec.commandLine(), option + ": expected " + min + " to " + max + ", found " + value);
        }
    }

    private static String securitySettings(Certificates certificates, String site) {
        try {
            return certificates.issue(site);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int run(SiteTestbed sites, PrintWriter out)
            throws InterruptedException, ExecutionException, TimeoutException {
        Map<String, Long> timeouts = new LinkedHashMap<>();
        CLASS_SHARES.keySet().forEach(requestClass -> timeouts.put(requestClass, CLIENT_TIMEOUT_MS * MS));
        OpenLoopLoadGenerator.Plan plan =
                new OpenLoopLoadGenerator.Plan(rate * seconds, rate, CLASS_SHARES, timeouts, 200);
        OpenLoopLoadGenerator atA = sites.load("a", seed);
        OpenLoopLoadGenerator atB = sites.load("b", seed + 1);
        CompletableFuture<Void> bothLoads = CompletableFuture.allOf(atA.start(plan), atB.start(plan));
        long third = seconds * 1_000L / 3;
        printStatus(out, sites, 0, "all is well");
        awaitAtMost(bothLoads, third);
        sites.site("a").cutServers(true);
        printStatus(out, sites, third, "a is cut from its servers");
        awaitAtMost(bothLoads, third);
        printStatus(out, sites, 2 * third, "the cut heals");
        sites.site("a").cutServers(false);
        bothLoads.get(seconds + DRAIN_TIMEOUT_S, TimeUnit.SECONDS);
        sites.awaitIdle(DRAIN_TIMEOUT_S * 1_000L);
        printStatus(out, sites, seconds * 1_000L, "the end");
        out.println();
        out.printf(
                "%-14s %7s %7s %7s %7s %8s %8s%n", "class", "asked", "served", "refused", "failed", "p50 ms", "p99 ms");
        for (String requestClass : CLASS_SHARES.keySet()) {
            ExecutionLedger.Tally tally = sites.ledger().tally(requestClass);
            Histogram latency = new Histogram(60_000_000_000L, 3);
            for (OpenLoopLoadGenerator load : List.of(atA, atB)) {
                if (load.latencies().get(requestClass) != null) {
                    latency.add(load.latencies().get(requestClass));
                }
            }
            out.printf(
                    Locale.ROOT,
                    "%-14s %7d %7d %7d %7d %8.1f %8.1f%n",
                    requestClass,
                    tally.requests(),
                    tally.served(),
                    tally.refused(),
                    tally.failed(),
                    latency.getValueAtPercentile(50) / 1e6,
                    latency.getValueAtPercentile(99) / 1e6);
        }
        Verdict verdict = sites.ledger().verdict();
        out.println();
        out.printf(
                "crossed %d, doubled %d, unanswered %d, late %d%n",
                sites.site("a").count("crossed") + sites.site("b").count("crossed"),
                verdict.duplicateEffects(),
                verdict.unanswered(),
                verdict.late());
        verdict.violations().forEach(out::println);
        out.println(verdict.passed() ? "every rule was kept" : "A RULE WAS BROKEN: " + verdict);
        out.flush();
        return verdict.passed() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    private static void awaitAtMost(CompletableFuture<Void> load, long millis) {
        load.copy().completeOnTimeout(null, millis, TimeUnit.MILLISECONDS).join();
    }

    private static void printStatus(PrintWriter out, SiteTestbed sites, long atMs, String event) {
        out.printf(
                Locale.ROOT,
                "%6.1f s  a: served %d, refused %d, failed %d, crossed %d   %s%n",
                atMs / 1e3,
                sites.site("a").count("served"),
                sites.site("a").count("refused"),
                sites.site("a").count("failed"),
                sites.site("a").count("crossed"),
                event);
        out.flush();
    }
}
