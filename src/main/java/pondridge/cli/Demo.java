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
import pondridge.demo.Sites;
import pondridge.demo.Usual;
import pondridge.standin.EffectLedger;
import pondridge.standin.EffectLedger.Verdict;
import pondridge.standin.OpenLoad;

/** Two sites on loopback, a link between them, load; then one site is cut from its servers, and heals. */
@Command(name = "demo", description = "Two sites of stand-in servers, one of which is cut off for a while.")
final class Demo implements Callable<Integer> {
    private static final long MS = 1_000_000;
    private static final int WAIT_MS = 2_000;
    private static final int PATIENCE_S = 30;
    private static final Map<String, Double> SHARES = shares();

    @Spec
    private CommandSpec spec;

    @Option(names = "--seconds", defaultValue = "24", description = "how long load comes: 3 to 600")
    private int seconds;

    @Option(names = "--rate", defaultValue = "150", description = "requests a second at each site: 1 to 2000")
    private int rate;

    @Option(names = "--delay-ms", defaultValue = "20", description = "the link's delay one way: 0 to 1000")
    private int delayMs;

    @Option(names = "--seed", defaultValue = "1", description = "of arrivals, work and the link's jitter")
    private long seed;

    @Option(names = "--log", description = "show the gateways' log on standard error")
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
        within("--seconds", seconds, 3, 600);
        within("--rate", rate, 1, 2000);
        within("--delay-ms", delayMs, 0, 1000);
        ((Logger) LoggerFactory.getLogger("bankflow")).setLevel(log ? Level.INFO : Level.OFF);
        PrintWriter out = spec.commandLine().getOut();
        Path folder = Files.createTempDirectory("bankflow-demo");
        try {
            Certificates certificates = new Certificates(folder);
            Sites.Shape shape = new Sites.Shape(List.of("a", "b"), 4, 1, 5 * MS, delayMs * MS, delayMs * MS / 4, "");
            try (Sites sites = new Sites(shape, Usual.options(WAIT_MS), seed, site -> lines(certificates, site))) {
                out.printf(
                        "two sites, 4 servers and a gateway each, %d ms between them one way, mutual TLS,"
                                + " %d requests/s at each%n",
                        delayMs, rate);
                out.flush();
                return play(sites, out);
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

    private void within(String option, int given, int least, int most) {
        if (given < least || given > most) {
            throw new ParameterException(
                    spec.commandLine(), option + ": expected " + least + " to " + most + ", found " + given);
        }
    }

    private static String lines(Certificates certificates, String site) {
        try {
            return certificates.site(site);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int play(Sites sites, PrintWriter out) throws InterruptedException, ExecutionException, TimeoutException {
        Map<String, Long> waits = new LinkedHashMap<>();
        SHARES.keySet().forEach(kind -> waits.put(kind, WAIT_MS * MS));
        OpenLoad.Plan plan = new OpenLoad.Plan(rate * seconds, rate, SHARES, waits, 200);
        OpenLoad atA = sites.load("a", seed);
        OpenLoad atB = sites.load("b", seed + 1);
        CompletableFuture<Void> all = CompletableFuture.allOf(atA.start(plan), atB.start(plan));
        long third = seconds * 1_000L / 3;
        show(out, sites, 0, "all is well");
        pass(all, third);
        sites.site("a").cut(true);
        show(out, sites, third, "a is cut from its servers");
        pass(all, third);
        show(out, sites, 2 * third, "the cut heals");
        sites.site("a").cut(false);
        all.get(seconds + PATIENCE_S, TimeUnit.SECONDS);
        sites.quiet(PATIENCE_S * 1_000L);
        show(out, sites, seconds * 1_000L, "the end");
        out.println();
        out.printf(
                "%-14s %7s %7s %7s %7s %8s %8s%n", "class", "asked", "served", "refused", "failed", "p50 ms", "p99 ms");
        for (String kind : SHARES.keySet()) {
            EffectLedger.Tally tally = sites.ledger().tally(kind);
            Histogram took = new Histogram(60_000_000_000L, 3);
            for (OpenLoad load : List.of(atA, atB)) {
                if (load.served().get(kind) != null) {
                    took.add(load.served().get(kind));
                }
            }
            out.printf(
                    Locale.ROOT,
                    "%-14s %7d %7d %7d %7d %8.1f %8.1f%n",
                    kind,
                    tally.asked(),
                    tally.served(),
                    tally.refused(),
                    tally.failed(),
                    took.getValueAtPercentile(50) / 1e6,
                    took.getValueAtPercentile(99) / 1e6);
        }
        Verdict verdict = sites.ledger().verdict();
        out.println();
        out.printf(
                "crossed %d, doubled %d, unanswered %d, late %d%n",
                sites.site("a").count("crossed") + sites.site("b").count("crossed"),
                verdict.doubled(),
                verdict.unanswered(),
                verdict.late());
        verdict.words().forEach(out::println);
        out.println(verdict.clean() ? "every rule was kept" : "A RULE WAS BROKEN: " + verdict);
        out.flush();
        return verdict.clean() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    private static void pass(CompletableFuture<Void> load, long millis) {
        load.copy().completeOnTimeout(null, millis, TimeUnit.MILLISECONDS).join();
    }

    private static void show(PrintWriter out, Sites sites, long atMs, String what) {
        out.printf(
                Locale.ROOT,
                "%6.1f s  a: served %d, refused %d, failed %d, crossed %d   %s%n",
                atMs / 1e3,
                sites.site("a").count("served"),
                sites.site("a").count("refused"),
                sites.site("a").count("failed"),
                sites.site("a").count("crossed"),
                what);
        out.flush();
    }
}
