package pondridge.demo;

import pondridge.BalancerOptions;

/** Default platform options for tests and demos, with the request classes of the stand-in servers. */
public final class StandinOptions {
    private static final long MS = 1_000_000;

    private StandinOptions() {}

    /**
     * Options with the default classes and zones.
     *
     * @param deadlineMs deadline and latency objective of each class
     * @param overrides lines that are appended
     */
    public static BalancerOptions withDeadline(long deadlineMs, String... overrides) {
        long deadline = deadlineMs * MS;
        StringBuilder text = new StringBuilder(
                """
                discovery=automatic
                quantum=1000000
                rank=0
                replicasOfMe=1
                zones=a,b
                kinds=m
                report.fields=
                caps.mayCancel=true
                caps.mayProbe=false
                caps.tryLimit=4
                caps.connectTimeout=500000000
                caps.connIdle=10000000000
                caps.maxRetryAfter=750000000
                caps.retryAfter=true
                parties.count=1
                parties.0.name=acme
                parties.0.portion=1.0
                parties.0.quotaRps=100000
                rules.answerSlack=20000000
                rules.stopSendingWithin=2000000000
                rules.coldShare=0.39
                rules.rampTime=7400000000
                rules.overloadFactor=4.0
                rules.tipAfter=1500000000
                rules.askWithin=10000000000
                profiles.count=4
                profiles.0.name=stock-check
                profiles.0.semantics=repeatable
                profiles.1.name=stock-hold
                profiles.1.semantics=by_key
                profiles.1.keyScope=zone
                profiles.1.keyTtl=1000000000
                profiles.2.name=order-confirm
                profiles.2.semantics=by_key
                profiles.2.keyScope=all
                profiles.2.keyTtl=7500000000
                profiles.3.name=order-book
                profiles.3.semantics=once
                """);
        for (int i = 0; i < 4; i++) {
            text.append("profiles.").append(i).append(".slo=").append(deadline).append('\n');
            text.append("profiles.")
                    .append(i)
                    .append(".deadline=")
                    .append(deadline)
                    .append('\n');
        }
        for (String line : overrides) {
            text.append(line).append('\n');
        }
        return new BalancerOptions(text.toString());
    }
}
