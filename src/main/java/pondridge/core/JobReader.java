package pondridge.core;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Options;

/** Reads what a request is from its head, whatever protocol brought it. */
public final class JobReader {
    /** The header of a keyed request's key. */
    public static final String KEY = "Idempotency-Key";

    private static final int LONGEST_ID = 128;
    private final List<RequestClass> classes;
    private final List<String> classNames;
    private final List<String> tenantNames;

    /** For the classes and tenants of these settings. */
    public JobReader(Options options) {
        this.classes = options.settings().classes();
        this.classNames = options.names("profiles");
        this.tenantNames = options.names("parties");
    }

    /** The class of a job. */
    public RequestClass kind(Job job) {
        return classes.get(job.requestClass());
    }

    /** Without its body. Throws {@link IllegalArgumentException} that says what can't be used. */
    public Job read(HttpMethod method, String uri, HttpHeaders headers) {
        if (header(headers, "Req-Id").length() > LONGEST_ID) {
            throw new IllegalArgumentException("Req-Id too long");
        }
        int kind = classNames.indexOf(header(headers, "Req-Kind"));
        if (kind < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        int tenant = 0;
        if (!tenantNames.isEmpty()) {
            tenant = tenantNames.indexOf(header(headers, "Req-Owner"));
            if (tenant < 0) {
                throw new IllegalArgumentException("unknown Req-Owner");
            }
        }
        String key = headers.get(KEY);
        Semantics semantics = classes.get(kind).semantics();
        HttpMethod fitting = semantics == Semantics.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
        if (!method.equals(fitting) || (semantics == Semantics.BY_KEY) != (key != null && !key.isEmpty())) {
            throw new IllegalArgumentException("method or Idempotency-Key does not fit the class");
        }
        // Nobody waits for longer than the class allows, whatever the header says.
        long wait =
                Math.min(number(headers, "Req-Deadline-Ms"), classes.get(kind).deadline() / 1_000_000);
        long cost = headers.contains("Req-Cost") ? number(headers, "Req-Cost") * 1000 : 0;
        return new Job(
                kind,
                tenant,
                key(path(uri)),
                wait,
                cost,
                "1".equals(headers.get("Req-Retry")),
                method,
                uri,
                headers,
                new byte[0]);
    }

    /** A target's path, without its query. */
    public static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static String header(HttpHeaders headers, String name) {
        String value = headers.get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("missing " + name);
        }
        return value;
    }

    /** A whole number that is neither negative nor longer than any wait or work can be. */
    public static long number(HttpHeaders headers, String name) {
        String value = header(headers, name);
        if (value.length() > 9 || !value.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            throw new IllegalArgumentException("not a whole number: " + name);
        }
        return Long.parseLong(value);
    }

    /** What the request is about, as a number: the same for the same last part of the path, 0 for none. */
    private static long key(String path) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        long key = 0;
        for (int i = 0; i < last.length(); i++) {
            key = key * 0x100000001b3L + last.charAt(i);
        }
        return key;
    }
}
