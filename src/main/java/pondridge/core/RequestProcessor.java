package pondridge.core;

/**
 * Accepts requests from the frontends: an {@link Engine}, or a dispatcher that chooses between several. All
 * calls are made on the event loop.
 */
public interface RequestProcessor {
    /** Submits a request, whose client gets one final response; returns its id for {@link #clientDisconnected}. */
    long submit(Job job, Client client);

    /** The client has disconnected; its {@link Client} is not called any more. */
    void clientDisconnected(long id);
}
