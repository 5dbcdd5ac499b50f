package pondridge.core;

/**
 * Accepts requests from the front ends: an {@link Engine}, or a dispatcher that chooses between several. All
 * calls are made on the event loop.
 */
public interface Requests {
    /** Submits a request, whose client gets one final response; returns its id for {@link #hangup}. */
    long submit(Job job, Client client);

    /** The client has disconnected; its {@link Client} is not called any more. */
    void hangup(long id);
}
