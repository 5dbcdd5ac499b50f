package pondridge.grpc;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The configured methods, by their gRPC path and by their HTTP/1.1 path. */
public final class MethodTable {
    private final Map<String, GrpcMethod> byGrpcPath = new HashMap<>();
    private final List<GrpcMethod> methods;

    MethodTable(List<GrpcMethod> methods) {
        this.methods = List.copyOf(methods);
        methods.forEach(method -> byGrpcPath.put(method.path(), method));
    }

    /**
     * The method with a gRPC path; null where none is configured. The retry semantics of such a method are
     * unknown, so calls of it are not sent.
     */
    GrpcMethod forGrpcPath(CharSequence path) {
        return path == null ? null : byGrpcPath.get(path.toString());
    }

    /** The method of a class with the longest matching HTTP/1.1 path; null where none matches. */
    GrpcMethod forHttpPath(int requestClass, String httpPath) {
        GrpcMethod longest = null;
        for (GrpcMethod method : methods) {
            if (method.requestClass() == requestClass
                    && method.matchesHttpPath(httpPath)
                    && (longest == null
                            || method.httpPath().length() > longest.httpPath().length())) {
                longest = method;
            }
        }
        return longest;
    }
}
