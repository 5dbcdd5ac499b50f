package pondridge.gateway;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import pondridge.Balancer.RequestClass;
import pondridge.core.Answer;
import pondridge.core.Client;
import pondridge.core.Engine;
import pondridge.core.Job;
import pondridge.core.JobReader;
import pondridge.core.Requests;
import pondridge.core.Tried;

/**
 * Carries each request through the steps its {@link Router} names, from one engine to the next, until it has
 * its final answer. Decides nothing itself. On the event loop only.
 */
final class Dispatcher implements Requests {
    /** What is kept off a client's time for the answer's way back to it. */
    private static final long ANSWER_ROOM = 5_000_000;

    /** What has come of requests; told to whoever shows it. */
    static final class Counts {
        long asked;
        long served;
        long refused;
        long failed;
        long crossed;
        long crossedServed;
        long byLink;
    }

    private final EventLoop loop;
    private final String site;
    private final Router router;
    private final OwnSite ownSite;
    private final Engine own;
    private final Map<String, FarSite> others;
    private final JobReader reader;
    private final long freshness;
    private final LongSupplier clock;
    private final Map<Long, Journey> journeys = new HashMap<>();
    private final Counts counts = new Counts();
    private final Log log;
    private final Pressure pressure = new Pressure();
    private OwnSite.State told = OwnSite.State.IN;
    private Runnable pressed = () -> {};
    private long lastId;

    Dispatcher(
            EventLoop loop,
            String site,
            Router router,
            OwnSite ownSite,
            Engine own,
            Map<String, FarSite> others,
            JobReader reader,
            long freshness,
            Log log,
            LongSupplier clock) {
        this.log = log;
        this.loop = loop;
        this.site = site;
        this.router = router;
        this.ownSite = ownSite;
        this.own = own;
        this.others = others;
        this.reader = reader;
        this.freshness = freshness;
        this.clock = clock;
    }

    /** Whom to tell when the own clients suffer at their own site. */
    void whenPressed(Runnable listener) {
        pressed = listener;
    }

    /** Says in the log when the own site counts as cut, as returning, or as back. */
    void tellOwnSite() {
        OwnSite.State now = ownSite.state();
        if (now != told) {
            told = now;
            log.warn(
                    "own_site",
                    "",
                    switch (now) {
                        case CUT -> "cut, " + ownSite.why();
                        case RETURNING -> "returning, " + ownSite.why();
                        case IN -> "in, it has all its requests again";
                    });
        }
    }

    private void ownEnded(Journey journey, boolean served) {
        if (!journey.trail.byLink()
                && ownSite.state() == OwnSite.State.IN
                && pressure.ended(served && clock.getAsLong() - journey.began <= journey.kind.aim())) {
            pressed.run();
        }
    }

    Counts counts() {
        return counts;
    }

    /** Requests that have no answer yet. */
    int open() {
        return journeys.size();
    }

    /** Takes a client's request. */
    @Override
    public long submit(Job job, Client client) {
        return begin(job, client, false);
    }

    /** Takes a request that has come by a link. */
    long submitFromLink(Job job, Client client) {
        counts.byLink++;
        return begin(job, client, true);
    }

    private long begin(Job job, Client client, boolean byLink) {
        long id = ++lastId;
        Journey journey = new Journey(id, job, client, byLink);
        journeys.put(id, journey);
        counts.asked += byLink ? 0 : 1;
        router.came(journey.trail);
        journey.next();
        return id;
    }

    @Override
    public void hangup(long id) {
        Journey journey = journeys.remove(id);
        if (journey != null) {
            journey.over = true;
            if (journey.at != null) {
                journey.at.hangup(journey.atId);
            }
        }
    }

    /** What of a request is the same when its client asks again: its key, else what it is about. */
    private static long lasting(Job job) {
        String key = job.headers().get("Idempotency-Key");
        return key == null ? job.uri().hashCode() : key.hashCode();
    }

    /** One request on its way; the client of whichever engine has it. */
    private final class Journey implements Client {
        private final long id;
        private final Job job;
        private final Client client;
        private final RequestClass kind;
        private final Trail trail;
        private final long deadline;
        private final long began;
        private Requests at;
        private long atId;
        private int legs;
        private boolean across;
        private Tried tried;
        private long advice;
        private int sent;
        private int reached;
        private boolean over;

        Journey(long id, Job job, Client client, boolean byLink) {
            this.id = id;
            this.job = job;
            this.client = client;
            this.kind = reader.kind(job);
            this.trail = new Trail(job.requestClass(), byLink, lasting(job));
            this.began = clock.getAsLong();
            this.deadline = began + Math.max(1, job.waitMs() * 1_000_000 - ANSWER_ROOM);
        }

        private void next() {
            long now = clock.getAsLong();
            Map<String, Router.Site> views = new LinkedHashMap<>();
            others.forEach((name, other) -> views.put(name, other.view(now)));
            Router.Step step = router.next(now, kind, deadline, trail, views);
            tellOwnSite();
            if (step instanceof Router.Own way) {
                trail.sent(site, now);
                across = false;
                go(own, job.within(way.left()));
            } else if (step instanceof Router.Across way) {
                counts.crossed++;
                trail.sent(way.site(), now);
                across = true;
                long told =
                        way.window() == Long.MAX_VALUE ? way.left() : Math.min(way.left(), way.window() - freshness);
                CrossingHeaders headers = new CrossingHeaders(job.headers(), site, now + told);
                long trip = deadline - now - way.left();
                go(others.get(way.site()).engine(), job.with(headers).within(Math.min(deadline - now, told + trip)));
            } else if (step instanceof Router.Wait wait) {
                at = null;
                loop.schedule(
                        () -> {
                            if (!over) {
                                next();
                            }
                        },
                        wait.delay(),
                        TimeUnit.NANOSECONDS);
            } else {
                end(step instanceof Router.Refuse);
            }
        }

        private void go(Requests to, Job leg) {
            int number = ++legs;
            at = to;
            atId = 0;
            long given = to.submit(leg, this);
            // It may have ended within that call, and be elsewhere by now.
            if (number == legs) {
                atId = given;
            }
        }

        @Override
        public boolean here(boolean late) {
            return client.here(late);
        }

        @Override
        public void tried(Tried what) {
            tried = what;
            sent += what.sent();
            reached += what.reached();
        }

        @Override
        public void served(Answer answer) {
            if (!across) {
                ownSite.ended(true, clock.getAsLong());
                ownEnded(this, true);
            }
            counts.crossedServed += across ? 1 : 0;
            counts.served += trail.byLink() ? 0 : 1;
            finish();
            client.served(answer);
        }

        @Override
        public void refused(long wait) {
            advice = wait;
            legEnded();
        }

        @Override
        public void failed() {
            legEnded();
        }

        private void legEnded() {
            trail.ended(!tried.mayHaveRun());
            if (!across) {
                ownEnded(this, false);
            }
            if (!across && tried.sent() > 0) {
                ownSite.ended(tried.reached() > 0, clock.getAsLong());
            }
            if (!over) {
                next();
            }
        }

        private void end(boolean harmless) {
            counts.refused += harmless && !trail.byLink() ? 1 : 0;
            counts.failed += harmless || trail.byLink() ? 0 : 1;
            finish();
            client.tried(new Tried(sent, reached, trail.doubt() != null));
            if (harmless) {
                client.refused(advice);
            } else {
                client.failed();
            }
        }

        private void finish() {
            over = true;
            journeys.remove(id);
        }
    }
}
