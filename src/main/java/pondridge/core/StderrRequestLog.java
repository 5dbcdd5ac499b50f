package pondridge.core;

import java.util.List;
import java.util.stream.Collectors;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;

/** Writes one short line for each event to standard error, with the milliseconds since its creation. */
final class StderrRequestLog implements RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Longer lists are shortened: the revision tells the rest. */
    private static final int MOST_TARGETS = 1024;

    private final long createdAt = System.nanoTime();

    private void line(String text) {
        System.err.println("trace " + (System.nanoTime() - createdAt) / NANOS_PER_MILLI + " " + text);
    }

    @Override
    public void taken(long number, Job job) {
        line("taken #" + number + " id=" + job.headers().get("Req-Id") + " class=" + job.requestClass() + " waitMs="
                + job.waitMs());
    }

    @Override
    public void attemptSent(long number, int attempt, String server, long waitNanos) {
        line("sent #" + number + "." + attempt + " to=" + server + " waitMs=" + waitNanos / NANOS_PER_MILLI);
    }

    @Override
    public void attemptEnded(long number, int attempt, String server, Outcome outcome, long tookNanos) {
        line("ended #" + number + "." + attempt + " at=" + server + " " + outcome + " tookMs="
                + tookNanos / NANOS_PER_MILLI);
    }

    @Override
    public void answered(long number, String answer) {
        line("answered #" + number + " " + answer);
    }

    @Override
    public void clientLeft(long number) {
        line("left #" + number);
    }

    @Override
    public void connectionClosed(String client, String reason, String stage) {
        line("closed " + client + " " + reason + " stage=" + stage);
    }

    @Override
    public void discoveryAsked(boolean watching, long fromRevision) {
        line("discovery asked " + call(watching) + " from=" + fromRevision);
    }

    @Override
    public void discoveryFailed(boolean watching, String reason) {
        line("discovery failed " + call(watching) + " " + reason);
    }

    @Override
    public void listReceived(boolean watching, long revision, boolean outdated, ListKind kind, List<Target> targets) {
        String names = targets.stream()
                .limit(MOST_TARGETS)
                .map(target -> target.uid() + ":" + target.state())
                .collect(Collectors.joining(","));
        line("discovery list " + call(watching) + " rev=" + revision + " " + kind + (outdated ? " outdated" : "") + " "
                + names);
    }

    private static String call(boolean watching) {
        return watching ? "watch" : "fetch";
    }
}
