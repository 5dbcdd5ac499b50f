package pondridge.core;

/**
 * Where a front hands its requests: an {@link Engine}, or what chooses between several. On the event loop
 * only.
 */
public interface Requests {
    /** Takes a request, whose client gets one final answer; returns what {@link #hangup} knows it by. */
    long submit(Job job, Client client);

    /** The client has gone away; it is told nothing more. */
    void hangup(long id);
}
