package pondridge.gateway;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.core.AttemptSummary;
import pondridge.core.Client;
import pondridge.core.ConnectionState;
import pondridge.core.Engine;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.KeyedAttemptHistory;
import pondridge.core.RequestProcessor;
import pondridge.core.UpstreamResponse;

/**
 * Executes the steps that {@link Router} decides for each request, submitting it to one engine after another
 * until it has its final response. Makes no routing decisions itself. On the event loop only.
 */
final class Dispatcher implements RequestProcessor {
    /** Subtracted from the client's timeout to leave time to send the response. */
    private static final long RESPONSE_MARGIN_NANOS = 5_000_000;

    /** Counts of requests by result. */
    static final class Counts {
        long received;
        long served;
        long refused;
        long failed;
        long sentToRemoteSites;
        long servedByRemoteSites;
        long fromLink;
    }

    private final EventLoop loop;
    private final String site;
    private final Router router;
    private final LocalSiteHealth localSite;
    private final Engine localEngine;
    private final Map<String, RemoteSite> remoteSites;
    private final JobReader reader;
    private final long maxDeliveryNanos;
    private final LongSupplier clock;
    private final Map<Long, RoutedRequest> openRequests = new HashMap<>();
    private final KeyedAttemptHistory<String> keyedAttempts = new KeyedAttemptHistory<>();
    private final Counts counts = new Counts();
    private final Log log;
    private final LocalSloMonitor sloMonitor = new LocalSloMonitor();
    private LocalSiteHealth.State loggedState = LocalSiteHealth.State.IN;
    private Runnable overloadListener = () -> {};
    private long lastId;

    Dispatcher(
            EventLoop loop,
            String site,
            Router router,
            LocalSiteHealth localSite,
            Engine localEngine,
            Map<String, RemoteSite> remoteSites,
            JobReader reader,
            long maxDeliveryNanos,
            Log log,
            LongSupplier clock) {
        this.log = log;
        this.loop = loop;
        this.site = site;
        this.router = router;
        this.localSite = localSite;
        this.localEngine = localEngine;
        this.remoteSites = remoteSites;
        this.reader = reader;
        this.maxDeliveryNanos = maxDeliveryNanos;
        this.clock = clock;
    }

    /**
     * Sets the listener for overload of the local site: too many of its own clients' requests miss their
     * deadline.
     */
    void onLocalOverload(Runnable listener) {
        overloadListener = listener;
    }

    /** Logs a change of the local site's state. */
    void logLocalSiteState() {
        LocalSiteHealth.State now = localSite.state();
        if (now != loggedState) {
            loggedState = now;
            log.warn(
                    "own_site",
                    "",
                    switch (now) {
                        case CUT -> "cut, " + localSite.reason();
                        case RETURNING -> "returning, " + localSite.reason();
                        case IN -> "in, it gets all its requests again";
                    });
        }
    }

    private void localAttemptEnded(RoutedRequest request, boolean served) {
        if (!request.history.fromLink()
                && localSite.state() == LocalSiteHealth.State.IN
                && sloMonitor.requestEnded(
                        served && clock.getAsLong() - request.startedAt <= request.requestClass.sloNanos())) {
            overloadListener.run();
        }
    }

    Counts counts() {
        return counts;
    }

    /** Requests without a response so far. */
    int openRequests() {
        return openRequests.size();
    }

    /** Takes a request of a client of this site. */
    @Override
    public long submit(Job job, Client client) {
        return begin(job, client, false);
    }

    /** Takes a request received from another site over a link. */
    long submitFromLink(Job job, Client client) {
        counts.fromLink++;
        return begin(job, client, true);
    }

    private long begin(Job job, Client client, boolean fromLink) {
        long id = ++lastId;
        RoutedRequest request = new RoutedRequest(id, job, client, fromLink);
        openRequests.put(id, request);
        counts.received += fromLink ? 0 : 1;
        router.requestArrived(request.history);
        request.advance();
        return id;
    }

    @Override
    public void clientDisconnected(long id) {
        RoutedRequest request = openRequests.remove(id);
        if (request != null) {
            request.finished = true;
            if (request.processor != null) {
                request.processor.clientDisconnected(request.processorRequestId);
            }
        }
    }

    /**
     * A hash that stays the same when the client repeats the request: of its idempotency key, else of its
     * URI.
     */
    private static long affinityKey(Job job) {
        String key = job.headers().get("Idempotency-Key");
        return key == null ? job.uri().hashCode() : key.hashCode();
    }

    /** One request; the client of the engine that it is submitted to. */
    private final class RoutedRequest implements Client {
        private final long id;
        private final Job job;
        private final Client client;
        private final RequestClass requestClass;
        /** Its key in the history of attempts; null if its class has none. */
        private final String historyKey;
        /** Its last attempt there. */
        private KeyedAttemptHistory.SentAttempt<String> historyEntry;

        private final AttemptHistory history;
        private final long deadline;
        private final long startedAt;
        private RequestProcessor processor;
        private long processorRequestId;
        private int submissions;
        private boolean atRemoteSite;
        private AttemptSummary lastAttempts;
        private long retryAfterNanos;
        private int attemptsSent;
        private int responsesReceived;
        private boolean finished;

        RoutedRequest(long id, Job job, Client client, boolean fromLink) {
            this.id = id;
            this.job = job;
            this.client = client;
            this.requestClass = reader.requestClass(job);
            this.startedAt = clock.getAsLong();
            this.historyKey = requestClass.retrySemantics() == RetrySemantics.BY_KEY
                    ? job.requestClass() + "/" + job.headers().get(JobReader.IDEMPOTENCY_KEY_HEADER)
                    : null;
            this.history = new AttemptHistory(job.requestClass(), fromLink, affinityKey(job), priorAttempt(startedAt));
            this.deadline = startedAt + Math.max(1, job.clientTimeoutMillis() * 1_000_000 - RESPONSE_MARGIN_NANOS);
        }

        private AttemptHistory.UncertainAttempt priorAttempt(long now) {
            KeyedAttemptHistory.SentAttempt<String> first =
                    historyKey == null ? null : keyedAttempts.first(historyKey, now);
            return first == null ? null : new AttemptHistory.UncertainAttempt(first.place(), first.sentAt());
        }

        private void recordAttempt(String place, long now) {
            history.attemptSent(place, now);
            if (historyKey != null) {
                historyEntry = keyedAttempts.record(historyKey, place, now, requestClass.keyTtlNanos());
            }
        }

        private void advance() {
            long now = clock.getAsLong();
            Map<String, Router.SiteSnapshot> snapshots = new LinkedHashMap<>();
            remoteSites.forEach((name, remoteSite) -> snapshots.put(name, remoteSite.snapshot(now)));
            Router.Step step = router.nextStep(now, requestClass, deadline, history, snapshots);
            logLocalSiteState();
            if (step instanceof Router.Local local) {
                recordAttempt(site, now);
                atRemoteSite = false;
                submitTo(localEngine, job.withTimeLeft(local.timeLeftNanos()));
            } else if (step instanceof Router.Remote target) {
                counts.sentToRemoteSites++;
                recordAttempt(target.site(), now);
                atRemoteSite = true;
                long remoteTimeNanos = target.keyWindowNanos() == Long.MAX_VALUE
                        ? target.timeLeftNanos()
                        : Math.min(target.timeLeftNanos(), target.keyWindowNanos() - maxDeliveryNanos);
                CrossSiteHeaders headers = new CrossSiteHeaders(job.headers(), site, now + remoteTimeNanos);
                long roundTripNanos = deadline - now - target.timeLeftNanos();
                submitTo(
                        remoteSites.get(target.site()).engine(),
                        job.withHeaders(headers)
                                .withTimeLeft(Math.min(deadline - now, remoteTimeNanos + roundTripNanos)));
            } else if (step instanceof Router.Wait wait) {
                processor = null;
                loop.schedule(
                        () -> {
                            if (!finished) {
                                advance();
                            }
                        },
                        wait.delayNanos(),
                        TimeUnit.NANOSECONDS);
            } else {
                finishUnserved(step instanceof Router.Refuse);
            }
        }

        private void submitTo(RequestProcessor target, Job submission) {
            int submissionNumber = ++submissions;
            processor = target;
            processorRequestId = 0;
            long assignedId = target.submit(submission, this);
            // The request may have ended within that call and have been submitted elsewhere since.
            if (submissionNumber == submissions) {
                processorRequestId = assignedId;
            }
        }

        @Override
        public long unreadNanos() {
            return client.unreadNanos();
        }

        @Override
        public ConnectionState connectionState(boolean readSocket) {
            return client.connectionState(readSocket);
        }

        @Override
        public void reportAttempts(AttemptSummary attempts) {
            lastAttempts = attempts;
            attemptsSent += attempts.attemptsSent();
            responsesReceived += attempts.responsesReceived();
        }

        @Override
        public void served(UpstreamResponse response) {
            if (!atRemoteSite) {
                localSite.attemptEnded(true, clock.getAsLong());
                localAttemptEnded(this, true);
            }
            counts.servedByRemoteSites += atRemoteSite ? 1 : 0;
            counts.served += history.fromLink() ? 0 : 1;
            finish();
            client.served(response);
        }

        @Override
        public void refused(long retryAfterNanos) {
            this.retryAfterNanos = retryAfterNanos;
            submissionUnserved();
        }

        @Override
        public void failed() {
            submissionUnserved();
        }

        private void submissionUnserved() {
            history.attemptEnded(!lastAttempts.mayHaveRun());
            if (historyEntry != null && !lastAttempts.mayHaveRun()) {
                keyedAttempts.removeNotExecuted(historyKey, historyEntry);
            }
            if (!atRemoteSite) {
                localAttemptEnded(this, false);
            }
            if (!atRemoteSite && lastAttempts.attemptsSent() > 0) {
                localSite.attemptEnded(lastAttempts.responsesReceived() > 0, clock.getAsLong());
            }
            if (!finished) {
                advance();
            }
        }

        private void finishUnserved(boolean safeToRetry) {
            counts.refused += safeToRetry && !history.fromLink() ? 1 : 0;
            counts.failed += safeToRetry || history.fromLink() ? 0 : 1;
            finish();
            client.reportAttempts(
                    new AttemptSummary(attemptsSent, responsesReceived, history.firstUncertain() != null));
            if (safeToRetry) {
                client.refused(retryAfterNanos);
            } else {
                client.failed();
            }
        }

        private void finish() {
            finished = true;
            openRequests.remove(id);
        }
    }
}
