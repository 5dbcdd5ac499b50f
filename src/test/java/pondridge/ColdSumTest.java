package pondridge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pondridge.Recorder.MS;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pondridge.Balancer.Allowed;
import pondridge.Balancer.Discovery;
import pondridge.Balancer.Limits;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Scope;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.Balancer.State;
import pondridge.Balancer.Weights;
import pondridge.lab.Bed;
import pondridge.lab.ColdBudget;
import pondridge.lab.Scene;
import pondridge.lab.Scene.Change;
import pondridge.lab.Scene.Event;
import pondridge.lab.Tally;

/**
 * What all sidecars together send to cold servers, with nobody to tell them of each other: real modules
 * over six modelled servers, 20 ms +-40 % a request on a warm thread. In every window of {@code tipAfter} a
 * cold one may get N + 2 x root of N + 2 requests of mean work, refused ones included, N being overload
 * factor x its capacity at the window's end x the window ({@link ColdBudget}); its capacity grows evenly from
 * the cold share to the whole over the ramp's time. A server that gets more falls over and stays down, and
 * the test is red. What it could do is its capacity over the same five seconds, or what was asked in all
 * where that is less.
 */
class ColdSumTest {
    private static final long SECOND = 1_000 * MS;
    private static final int SERVERS = 6;
    /** A second after servers went, in seconds; seen are five from here. */
    private static final int BACK = 12;

    private static final int SEEN = 5;
    private static final double COLD = 0.39;
    private static final long RAMP = 7_400 * MS;

    /** What happens to six warm servers and their sidecars. */
    enum Case {
        ONE_BACK(6, 1),
        ALL_COLD(6, 6),
        HALF_COLD(3, 3),
        ONE_WARM_LEFT(5, 1),
        /** The one that is back starts anew every 0.7 s. */
        RESTARTING(6, 1),
        /** One sidecar starts as the server comes back. */
        A_FRESH_SIDECAR(6, 1),
        /** All of them do. */
        ONLY_FRESH_SIDECARS(6, 1),
        ALL_FRESH(6, 6);

        final int gone;
        final int back;

        Case(int gone, int back) {
            this.gone = gone;
            this.back = back;
        }

        List<Change> changes(int modules) {
            List<Change> changes = new ArrayList<>();
            for (int i = 0; i < gone; i++) {
                changes.add(new Change((BACK - 1) * SECOND, Event.GONE, i));
            }
            for (int i = 0; i < back; i++) {
                changes.add(new Change(BACK * SECOND, Event.COLD, i));
            }
            for (long at = 700 * MS; this == RESTARTING && at < 4 * SECOND; at += 700 * MS) {
                changes.add(new Change(BACK * SECOND + at, Event.COLD, 0));
            }
            int fresh = this == A_FRESH_SIDECAR ? 1 : this == ONLY_FRESH_SIDECARS || this == ALL_FRESH ? modules : 0;
            for (int i = 0; i < fresh; i++) {
                changes.add(new Change(BACK * SECOND, Event.SIDECAR, i));
            }
            return changes;
        }
    }

    private static Settings settings(int replicas, double factor) {
        return new Settings(
                0,
                replicas,
                0,
                MS,
                Discovery.AUTOMATIC,
                Weights.SILENT,
                List.of(new RequestClass(200 * MS, 0, SECOND, 1, 0, Semantics.REPEATABLE, Scope.ALL, 0, false)),
                List.of(),
                new Allowed(true, false, false, false, false, 3, 0, 250 * MS),
                new Limits(20 * MS, 10 * SECOND, 250 * MS, COLD, RAMP, factor, 1_500 * MS),
                List.of(),
                Balancer.Charges.NONE,
                false,
                1);
    }

    /**
     * With half of the servers warm the floor is what the rule for that, left as it was, comes to.
     *
     * @param said how many sidecars the settings name
     * @param load requests a second in all
     * @param floor part of what the first cold server could do that it has to have done
     */
    @ParameterizedTest
    @CsvSource({
        // case, sidecars, said, load, factor, even, hinted, travel ms, threads, places, floor
        "ONE_BACK, 1, 1, 960, 4, false, false, 1, 4, 12, 0.9",
        "ONE_BACK, 10, 10, 960, 4, true, false, 1, 4, 12, 0.9",
        "ONE_BACK, 20, 20, 960, 4, false, false, 1, 4, 12, 0.9",
        "ONE_BACK, 30, 30, 960, 4, true, false, 1, 4, 12, 0.9",
        "ONE_BACK, 100, 100, 960, 4, false, false, 1, 4, 12, 0.9",
        "ONE_BACK, 30, 30, 960, 4, false, false, 0, 4, 12, 0.8",
        "ONE_BACK, 100, 100, 960, 4, true, true, 0, 4, 2, 0.7",
        "ONE_BACK, 30, 30, 960, 2, false, false, 1, 4, 12, 0.6",
        "ONE_BACK, 30, 30, 960, 1, false, false, 1, 4, 12, 0.6",
        "ONE_BACK, 100, 100, 960, 1, false, true, 0, 4, 12, 0.6",
        "ONE_BACK, 30, 30, 15, 4, false, false, 1, 4, 12, 0.5",
        "ONE_BACK, 30, 30, 240, 4, false, false, 0, 1, 2, 0.7",
        "A_FRESH_SIDECAR, 10, 10, 960, 4, false, false, 1, 4, 12, 0.8",
        "ONLY_FRESH_SIDECARS, 1, 1, 960, 4, false, false, 1, 4, 12, 0.8",
        "ONLY_FRESH_SIDECARS, 30, 30, 960, 4, false, false, 0, 4, 12, 0.8",
        "ONLY_FRESH_SIDECARS, 100, 100, 240, 4, false, false, 0, 1, 2, 0.7",
        "ONLY_FRESH_SIDECARS, 30, 1, 960, 4, false, false, 0, 4, 12, 0.7",
        "ONE_BACK, 30, 1, 960, 4, true, false, 0, 4, 12, 0.7",
        "ONE_BACK, 30, 100, 960, 4, true, false, 1, 4, 12, 0.7",
        "ALL_COLD, 30, 30, 960, 4, false, false, 1, 4, 12, 0.8",
        "ALL_COLD, 100, 100, 960, 1, true, false, 0, 4, 12, 0.4",
        "ALL_FRESH, 30, 30, 960, 4, false, false, 1, 4, 12, 0.7",
        "ALL_FRESH, 10, 10, 960, 4, true, true, 1, 4, 12, 0.6",
        "HALF_COLD, 30, 30, 960, 4, false, false, 1, 4, 12, 0.6",
        "ONE_WARM_LEFT, 30, 30, 960, 4, false, false, 1, 4, 12, 0.7",
        "ONE_WARM_LEFT, 30, 30, 960, 1, true, false, 1, 4, 12, 0.3",
        "RESTARTING, 30, 30, 960, 4, false, false, 0, 4, 12, 0.5",
    })
    void allTogetherKeepAColdServerUpAndUseIt(
            Case what,
            int modules,
            int said,
            double load,
            double factor,
            boolean even,
            boolean hinted,
            long travel,
            int threads,
            int places,
            double floor) {
        double can = 0;
        for (int ms = 0; ms < SEEN * 1_000; ms++) {
            can += Math.min(load, threads * 50 * (COLD + (1 - COLD) * ms * MS / RAMP)) / 1_000;
        }
        for (long seed = 1; seed <= 2; seed++) {
            Tally tally = Bed.play(new Scene(
                    seed,
                    settings(said, factor),
                    modules,
                    Collections.nCopies(SERVERS, new Scene.Machine(threads, places, true)),
                    new Scene.Arrivals(load, even, List.of(1.0), 20 * MS, 0.4, hinted, 100 * MS),
                    what.changes(modules),
                    0,
                    travel * MS,
                    (BACK + SEEN + 1) * SECOND));
            double sum = 0;
            double bound = 1;
            for (ColdBudget each : tally.budgets()) {
                if (each.worstSum() * bound > sum * each.worstBound()) {
                    sum = each.worstSum();
                    bound = each.worstBound();
                }
            }
            double used = tally.done(0, BACK, BACK + SEEN) / can;
            String seen = String.format(
                    Locale.ROOT,
                    "%s, %d sidecars, factor %.0f, seed %d: %.0f of %.0f" + " in the worst window (%.2f), %.2f used",
                    what,
                    modules,
                    factor,
                    seed,
                    sum,
                    bound,
                    sum / bound,
                    used);
            if (Boolean.getBoolean("lab.print")) {
                System.out.println(seen);
            }
            assertEquals(0, tally.overfilled(), seen);
            assertTrue(used >= floor, seen);
        }
    }

    /** Cold budgets say nothing on a day of warm servers: any settings of them give the same day. */
    @Test
    void warmServersGetWhatTheyGotWhateverTheColdOnesMay() {
        Tally[] days = new Tally[2];
        for (int i = 0; i < 2; i++) {
            days[i] = Bed.play(new Scene(
                    3,
                    settings(10, i == 0 ? 4 : 1),
                    10,
                    Collections.nCopies(SERVERS, new Scene.Machine(4, 12, true)),
                    new Scene.Arrivals(800, false, List.of(1.0), 20 * MS, 0.4, false, 100 * MS),
                    List.of(),
                    0,
                    MS,
                    10 * SECOND));
        }
        for (int second = 0; second < 10; second++) {
            assertEquals(
                    List.of(days[0].second(second).reached[0], days[0].second(second).inTime),
                    List.of(days[1].second(second).reached[0], days[1].second(second).inTime));
        }
        assertTrue(days[0].second(8).inTime > 0.95 * days[0].second(8).offered);
    }

    /** Requests that a lone cold server gets in 0.4 s, of 40 that come, when three warm ones went. */
    private static long toCold(long idle, Outcome outcome) {
        Recorder host = new Recorder(settings(30, 4), 7).withUpstreams(3);
        host.serve(0, 1_000, 0, 10 * MS);
        host.advance(idle);
        host.rules.listChanged(host.now, ListKind.FULL, List.of(Recorder.upstream(9, State.READY, host.now)));
        int before = host.sends.size();
        for (long id = 2_000; id < 2_040; id++) {
            int sent = host.sends.size();
            host.request(id, 0);
            host.advance(10 * MS);
            if (host.sends.size() > sent) {
                host.outcome(host.last(), outcome);
            }
        }
        return host.sentTo(9, before);
    }

    @Test
    void whatWarmServersServedIsNotForgottenWhileThereIsNothingToServe() {
        long soon = toCold(0, Outcome.OK);
        long later = toCold(60 * SECOND, Outcome.OK);
        assertTrue(soon >= 5 && Math.abs(soon - later) <= 2, soon + " soon, " + later + " later");
    }

    /** Warm ones served 33 a second each; twice the cold share of it is 26 a second. */
    @Test
    void eachRefusalCountsAgainstTheBudget() {
        for (Outcome refusal : List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED)) {
            long refused = toCold(0, refusal);
            assertTrue(refused >= 1 && refused <= 14, refused + " in 0.4 s, " + refusal);
        }
    }

    @Test
    void noSidecarsAtAllIsNoSetting() {
        assertThrows(IllegalArgumentException.class, () -> settings(0, 4));
    }
}
