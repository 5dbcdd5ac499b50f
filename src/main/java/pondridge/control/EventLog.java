package pondridge.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives events that an operator should know of. Called on the event loop. */
public interface EventLog {
    /** Ignores all events. */
    EventLog NONE = (event, peer, detail) -> {};

    /**
     * Reports an event.
     *
     * @param event its kind, one word
     * @param peer the instance or relay concerned; empty for none
     */
    void report(String event, String peer, String detail);

    /**
     * Returns a sink that logs events as JSON lines, five a second of each kind at most. The next line logged
     * says how many were omitted.
     */
    static EventLog jsonLines(String instance) {
        return new JsonLines(instance);
    }

    /** See {@link #jsonLines}. */
    final class JsonLines implements EventLog {
        private static final Logger LOGGER = LoggerFactory.getLogger("bankflow.control");
        private static final int MAX_LINES_PER_SECOND = 5;
        private static final long SECOND_NANOS = 1_000_000_000;

        private static final class RateLimit {
            private long windowStartNanos;
            private int linesLogged;
            private int linesOmitted;
        }

        private final String instance;
        private final Map<String, RateLimit> rateLimits = new HashMap<>();

        private JsonLines(String instance) {
            this.instance = instance;
        }

        @Override
        public synchronized void report(String event, String peer, String detail) {
            long nowNanos = System.nanoTime();
            RateLimit rateLimit = rateLimits.computeIfAbsent(event, each -> new RateLimit());
            if (rateLimit.linesLogged == 0 || nowNanos - rateLimit.windowStartNanos >= SECOND_NANOS) {
                rateLimit.windowStartNanos = nowNanos;
                rateLimit.linesLogged = 0;
            }
            if (rateLimit.linesLogged == MAX_LINES_PER_SECOND) {
                rateLimit.linesOmitted++;
                return;
            }
            rateLimit.linesLogged++;
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("event", event);
            fields.put("instance", instance);
            fields.put("peer", peer);
            fields.put("detail", detail);
            fields.put("left_out", rateLimit.linesOmitted);
            rateLimit.linesOmitted = 0;
            LOGGER.info("{}", event, StructuredArguments.entries(fields));
        }
    }
}
