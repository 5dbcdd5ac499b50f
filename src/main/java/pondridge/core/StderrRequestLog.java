package pondridge.core;

import java.util.List;
import java.util.stream.Collectors;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;

/** Writes one line for each event to standard error, with the milliseconds since this log was created. */
final class StderrRequestLog implements RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Longer lists are truncated; the revision identifies the full list. */
    private static final int MAX_LOGGED_TARGETS = 1024;

    private final long createdAt = System.nanoTime();

    private void writeLine(String text) {
        System.err.println("trace " + (System.nanoTime() - createdAt) / NANOS_PER_MILLI + " " + text);
    }

    @Override
    public void requestReceived(long number, Job job) {
        writeLine("taken #" + number + " id=" + job.headers().get("Req-Id") + " class=" + job.requestClass()
                + " waitMs=" + job.clientTimeoutMillis());
    }

    @Override
    public void requestAged(String clientRequestId, long ageNanos) {
        writeLine("aged id=" + clientRequestId + " ageMs=" + ageNanos / NANOS_PER_MILLI);
    }

    @Override
    public void attemptSent(long number, int attempt, String server, long timeoutNanos) {
        writeLine("sent #" + number + "." + attempt + " to=" + server + " waitMs=" + timeoutNanos / NANOS_PER_MILLI);
    }

    @Override
    public void attemptEnded(long number, int attempt, String server, Outcome outcome, long elapsedNanos) {
        writeLine("ended #" + number + "." + attempt + " at=" + server + " " + outcome + " tookMs="
                + elapsedNanos / NANOS_PER_MILLI);
    }

    @Override
    public void responseSent(long number, String result) {
        writeLine("answered #" + number + " " + result);
    }

    @Override
    public void clientDisconnected(long number) {
        writeLine("left #" + number);
    }

    @Override
    public void connectionClosed(String client, String reason, String state) {
        writeLine("closed " + client + " " + reason + " stage=" + state);
    }

    @Override
    public void discoveryCallStarted(boolean watching, long fromRevision) {
        writeLine("discovery asked " + callName(watching) + " from=" + fromRevision);
    }

    @Override
    public void discoveryCallFailed(boolean watching, String reason) {
        writeLine("discovery failed " + callName(watching) + " " + reason);
    }

    @Override
    public void endpointListReceived(
            boolean watching, long revision, boolean outdated, EndpointListKind kind, List<Target> targets) {
        String names = targets.stream()
                .limit(MAX_LOGGED_TARGETS)
                .map(target -> target.uid() + ":" + target.state())
                .collect(Collectors.joining(","));
        writeLine("discovery list " + callName(watching) + " rev=" + revision + " " + kind
                + (outdated ? " outdated" : "") + " " + names);
    }

    private static String callName(boolean watching) {
        return watching ? "watch" : "fetch";
    }
}
