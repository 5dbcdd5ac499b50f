package pondridge.gateway;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The gateway's log: JSON lines with stable field names, one {@code event} each. Of one kind of event only so
 * many lines a second are written; the next one that is says how many were not. On any thread.
 */
final class Log {
    private static final Logger LINES = LoggerFactory.getLogger("bankflow.gateway");
    private static final int PER_SECOND = 5;
    private static final long SECOND = 1_000_000_000;

    /** How often one kind of event may be told, and how many were left out since. */
    static final class LineBudget {
        private long began;
        private int told;
        private int leftOut;

        /** How many were left out before this one; -1 if this one is, too. */
        int take(long now) {
            if (told == 0 || now - began >= SECOND) {
                began = now;
                told = 0;
            }
            if (told >= PER_SECOND) {
                leftOut++;
                return -1;
            }
            told++;
            int before = leftOut;
            leftOut = 0;
            return before;
        }
    }

    private final String site;
    private final Map<String, LineBudget> budgets = new HashMap<>();

    Log(String site) {
        this.site = site;
    }

    /** Something that went as it should. */
    void info(String event, String peer, String detail) {
        int leftOut = admit(event);
        if (leftOut >= 0) {
            LINES.info("{}", event, fields(event, peer, detail, leftOut));
        }
    }

    /** Something that an operator should know. */
    void warn(String event, String peer, String detail) {
        int leftOut = admit(event);
        if (leftOut >= 0) {
            LINES.warn("{}", event, fields(event, peer, detail, leftOut));
        }
    }

    private Object fields(String event, String peer, String detail, int leftOut) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("event", event);
        fields.put("site", site);
        fields.put("peer", peer);
        fields.put("detail", detail);
        fields.put("left_out", leftOut);
        return StructuredArguments.entries(fields);
    }

    private synchronized int admit(String event) {
        return budgets.computeIfAbsent(event, each -> new LineBudget()).take(System.nanoTime());
    }
}
