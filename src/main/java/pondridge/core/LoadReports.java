package pondridge.core;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Supplier;
import pondridge.Options;

/** Reads the load reports that answers and probes bring, whatever protocol they come by. */
public final class LoadReports {
    /** No report, or none that can be read. */
    public static final float[] NONE = {};
    /** The header that carries one. */
    public static final String HEADER = "Srv-Load";

    private static final String LOAD_PATH = "/metrics/load";
    private final List<String> fields;

    /** For reports with the fields that the settings name. */
    public LoadReports(Options options) {
        this.fields = options.list("report.fields");
    }

    /** The path of a probe: for the load report where the deployment has reports, else for the health. */
    public String probePath() {
        return fields.isEmpty() ? "/alive" : LOAD_PATH;
    }

    /**
     * The load report in the order of the settings' fields; {@link #NONE} where none can be read.
     *
     * @param header what the answer's header holds, or null
     * @param path the path that was asked
     * @param body the answer's body as text, looked at only where that path is the report's
     */
    public float[] read(String header, String path, Supplier<String> body) {
        if (fields.isEmpty()) {
            return NONE;
        }
        String text = header == null && path.equals(LOAD_PATH) ? body.get() : header;
        if (text == null) {
            return NONE;
        }
        try {
            JsonNode node = Json.MAPPER.readTree(text);
            float[] values = new float[fields.size()];
            for (int i = 0; i < values.length; i++) {
                JsonNode value = node.path(fields.get(i));
                if (!value.isNumber()) {
                    return NONE;
                }
                values[i] = value.floatValue();
                if (!(values[i] >= 0 && values[i] < Float.POSITIVE_INFINITY)) {
                    return NONE;
                }
            }
            return values;
        } catch (JsonProcessingException e) {
            return NONE;
        }
    }
}
