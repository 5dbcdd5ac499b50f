package pondridge.core;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.RetrySemantics;
import pondridge.BalancerOptions;

/** Reads a {@link Job} from a request's head, for every protocol. */
public final class JobReader {
    /** The header that carries the idempotency key. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final int MAX_REQUEST_ID_LENGTH = 128;
    private final List<RequestClass> classes;
    private final List<String> classNames;
    private final List<String> tenantNames;

    /** Creates a reader for the classes and tenants of these settings. */
    public JobReader(BalancerOptions options) {
        this.classes = options.settings().classes();
        this.classNames = options.objectNames("profiles");
        this.tenantNames = options.objectNames("parties");
    }

    /** The request class of a job. */
    public RequestClass requestClass(Job job) {
        return classes.get(job.requestClass());
    }

    /**
     * Reads a request without its body.
     *
     * @throws IllegalArgumentException naming what is missing or invalid; the message is for the client
     */
    public Job read(HttpMethod method, String uri, HttpHeaders headers) {
        if (header(headers, "Req-Id").length() > MAX_REQUEST_ID_LENGTH) {
            throw new IllegalArgumentException("Req-Id too long");
        }
        int requestClass = classNames.indexOf(header(headers, "Req-Kind"));
        if (requestClass < 0) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        int tenant = 0;
        if (!tenantNames.isEmpty()) {
            tenant = tenantNames.indexOf(header(headers, "Req-Owner"));
            if (tenant < 0) {
                throw new IllegalArgumentException("unknown Req-Owner");
            }
        }
        String key = headers.get(IDEMPOTENCY_KEY_HEADER);
        RetrySemantics semantics = classes.get(requestClass).retrySemantics();
        HttpMethod expectedMethod = semantics == RetrySemantics.REPEATABLE ? HttpMethod.GET : HttpMethod.POST;
        if (!method.equals(expectedMethod) || (semantics == RetrySemantics.BY_KEY) != (key != null && !key.isEmpty())) {
            throw new IllegalArgumentException("method or Idempotency-Key does not fit the class");
        }
        // The class's deadline bounds the client's timeout.
        long timeoutMillis = Math.min(
                parseNumber(headers, "Req-Deadline-Ms"),
                classes.get(requestClass).deadlineNanos() / 1_000_000);
        long costNanos = headers.contains("Req-Cost") ? parseNumber(headers, "Req-Cost") * 1000 : 0;
        return new Job(
                requestClass,
                tenant,
                key(pathOf(uri)),
                timeoutMillis,
                costNanos,
                "1".equals(headers.get("Req-Retry")),
                method,
                uri,
                headers,
                new byte[0]);
    }

    /** The path of a URI, without its query. */
    public static String pathOf(String uri) {
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

    /** Reads a header as a non-negative integer of at most 9 digits, enough for any timeout or cost. */
    public static long parseNumber(HttpHeaders headers, String name) {
        String value = header(headers, name);
        if (value.length() > 9 || !value.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            throw new IllegalArgumentException("not a whole number: " + name);
        }
        return Long.parseLong(value);
    }

    /** The key of the requested object: a hash of the path's last segment, 0 if that is empty. */
    private static long key(String path) {
        String lastSegment = path.substring(path.lastIndexOf('/') + 1);
        long key = 0;
        for (int i = 0; i < lastSegment.length(); i++) {
            key = key * 0x100000001b3L + lastSegment.charAt(i);
        }
        return key;
    }
}
