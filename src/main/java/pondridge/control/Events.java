package pondridge.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What an operator should know; told on the loop. */
public interface Events {
    /** Nobody is told. */
    Events NONE = (event, peer, detail) -> {};

    /**
     * Something has happened.
     *
     * @param event its kind, one word
     * @param peer whom it is about; empty for nobody
     */
    void told(String event, String peer, String detail);

    /** JSON lines, five a second of one kind; the next one says how many were left out. */
    static Events lines(String instance) {
        return new Lines(instance);
    }

    /** See {@link #lines}. */
    final class Lines implements Events {
        private static final Logger LINES = LoggerFactory.getLogger("bankflow.control");
        private static final int PER_SECOND = 5;
        private static final long SECOND = 1_000_000_000;

        private static final class Budget {
            private long began;
            private int told;
            private int leftOut;
        }

        private final String instance;
        private final Map<String, Budget> budgets = new HashMap<>();

        private Lines(String instance) {
            this.instance = instance;
        }

        @Override
        public synchronized void told(String event, String peer, String detail) {
            long now = System.nanoTime();
            Budget budget = budgets.computeIfAbsent(event, each -> new Budget());
            if (budget.told == 0 || now - budget.began >= SECOND) {
                budget.began = now;
                budget.told = 0;
            }
            if (budget.told == PER_SECOND) {
                budget.leftOut++;
                return;
            }
            budget.told++;
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("event", event);
            fields.put("instance", instance);
            fields.put("peer", peer);
            fields.put("detail", detail);
            fields.put("left_out", budget.leftOut);
            budget.leftOut = 0;
            LINES.info("{}", event, StructuredArguments.entries(fields));
        }
    }
}
