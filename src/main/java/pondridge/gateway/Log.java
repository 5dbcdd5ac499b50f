package pondridge.gateway;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The gateway's log: JSON lines with stable field names, one {@code event} each. Each kind of event is
 * limited to a number of lines in a second; the next line that is written states how many were left out. On
 * any thread.
 */
final class Log {
    private static final Logger LOGGER = LoggerFactory.getLogger("bankflow.gateway");
    private static final int MAX_LINES_PER_SECOND = 5;
    private static final long WINDOW_NANOS = 1_000_000_000;

    /** Limits the lines of one kind of event and counts those left out. */
    static final class LineRateLimiter {
        private long windowStart;
        private int written;
        private int suppressed;

        /** Returns how many lines were left out before this one; -1 if this one is left out too. */
        int acquire(long now) {
            if (written == 0 || now - windowStart >= WINDOW_NANOS) {
                windowStart = now;
                written = 0;
            }
            if (written >= MAX_LINES_PER_SECOND) {
                suppressed++;
                return -1;
            }
            written++;
            int suppressedBefore = suppressed;
            suppressed = 0;
            return suppressedBefore;
        }
    }

    private final String site;
    private final Map<String, LineRateLimiter> limiters = new HashMap<>();

    Log(String site) {
        this.site = site;
    }

    /** Logs a normal event. */
    void info(String event, String peer, String detail) {
        int suppressed = admit(event);
        if (suppressed >= 0) {
            LOGGER.info("{}", event, fields(event, peer, detail, suppressed));
        }
    }

    /** Logs an event that needs an operator's attention. */
    void warn(String event, String peer, String detail) {
        int suppressed = admit(event);
        if (suppressed >= 0) {
            LOGGER.warn("{}", event, fields(event, peer, detail, suppressed));
        }
    }

    private Object fields(String event, String peer, String detail, int suppressed) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("event", event);
        fields.put("site", site);
        fields.put("peer", peer);
        fields.put("detail", detail);
        fields.put("left_out", suppressed);
        return StructuredArguments.entries(fields);
    }

    private synchronized int admit(String event) {
        return limiters.computeIfAbsent(event, each -> new LineRateLimiter()).acquire(System.nanoTime());
    }
}
