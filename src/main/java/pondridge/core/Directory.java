package pondridge.core;

/** Where the list of upstreams comes from. What it finds it tells {@link Engine#listed}, on the loop. */
public interface Directory {
    /** Follows the list's changes from now on, or no longer. */
    void watch(boolean on);

    /** Asks for the whole list once. */
    void fetch();
}
