package pondridge.core;

/** The source of the endpoint list. Reports lists and changes to {@link Engine#updateEndpoints} on the event loop. */
public interface EndpointDiscovery {
    /** Starts or stops watching for changes. */
    void watch(boolean enabled);

    /** Requests the full list once. */
    void fetch();

    /** How long nothing had been received on the watch that failed last; 0 if it did not fall silent. */
    default long silentNanos() {
        return 0;
    }

    /** Reads what lies unread in the sockets to discovery and reports it at once. */
    default void readUnread() {}
}
