package pondridge.core;

/** The source of the endpoint list. Reports lists and changes to {@link Engine#updateEndpoints} on the event loop. */
public interface EndpointDiscovery {
    /** Starts or stops watching for changes. */
    void watch(boolean enabled);

    /** Requests the full list once. */
    void fetch();

    /** Reads what lies unread in the sockets to discovery and reports it at once. */
    default void readUnread() {}
}
