package pondridge.core;

/** The source of the endpoint list. Reports lists and changes to {@link Engine#listed} on the event loop. */
public interface Directory {
    /** Starts or stops watching for changes. */
    void watch(boolean enabled);

    /** Requests the full list once. */
    void fetch();
}
