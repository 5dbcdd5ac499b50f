package pondridge.grpc;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Methods by their gRPC path, and by what an HTTP/1.1 request for the same is called. */
public final class MethodTable {
    private final Map<String, Method> byPath = new HashMap<>();
    private final List<Method> all;

    MethodTable(List<Method> all) {
        this.all = List.copyOf(all);
        all.forEach(each -> byPath.put(each.path(), each));
    }

    /** Null for one that is not named: what it does is not known, so it is not sent. */
    Method byPath(CharSequence path) {
        return path == null ? null : byPath.get(path.toString());
    }

    /** The method of a class with the longest fitting target; null where none is named. */
    Method byTarget(int requestClass, String path) {
        Method best = null;
        for (Method each : all) {
            if (each.requestClass() == requestClass
                    && each.fits(path)
                    && (best == null || each.uri().length() > best.uri().length())) {
                best = each;
            }
        }
        return best;
    }
}
