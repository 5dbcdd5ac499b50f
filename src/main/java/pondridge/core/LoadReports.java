package pondridge.core;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Supplier;
import pondridge.BalancerOptions;

/** Parses load reports from responses and probe results, for every protocol. */
public final class LoadReports {
    /** No report, or an invalid one. */
    public static final float[] NONE = {};
    /** The response header that carries a load report. */
    public static final String HEADER = "Srv-Load";

    private static final String LOAD_PATH = "/metrics/load";
    private final List<String> fields;

    /** Creates a parser for reports with the fields that the settings name. */
    public LoadReports(BalancerOptions options) {
        this.fields = options.list("report.fields");
    }

    /** The path to probe: the load report's if the deployment has load reports, else the health check's. */
    public String probePath() {
        return fields.isEmpty() ? "/alive" : LOAD_PATH;
    }

    /**
     * The values of a load report in the order of the settings' fields; {@link #NONE} without a valid report.
     *
     * @param header the value of {@link #HEADER} in the response, or null
     * @param path the requested path
     * @param body the response's body as text; used only if the path is the load report's
     */
    public float[] read(String header, String path, Supplier<String> body) {
        if (fields.isEmpty()) {
            return NONE;
        }
        String report = header == null && path.equals(LOAD_PATH) ? body.get() : header;
        if (report == null) {
            return NONE;
        }
        try {
            JsonNode root = Json.MAPPER.readTree(report);
            float[] values = new float[fields.size()];
            for (int i = 0; i < values.length; i++) {
                JsonNode value = root.path(fields.get(i));
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
