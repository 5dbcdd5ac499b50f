package pondridge.core;

import java.util.List;
import pondridge.Balancer.ListKind;
import pondridge.Balancer.Outcome;

/**
 * Receives the life cycle of each request, connection and discovery call, so that one request can be followed
 * through a process. Every method is called on the event loop. The default methods do nothing.
 */
public interface RequestLog {
    /** Records nothing. */
    RequestLog NONE = new RequestLog() {};

    /** Environment variable that switches the log on. */
    String SWITCH = "BANKFLOW_REQUEST_LOG";

    /** The log that the environment asks for; the class that writes is loaded only where it is wanted. */
    static RequestLog fromEnvironment() {
        return "1".equals(System.getenv(SWITCH)) ? new StderrRequestLog() : NONE;
    }

    /** The whole request was read; {@code number} is its number within this process. */
    default void taken(long number, Job job) {}

    /** An attempt was handed to the transport. */
    default void attemptSent(long number, int attempt, String server, long waitNanos) {}

    /** An attempt ended. */
    default void attemptEnded(long number, int attempt, String server, Outcome outcome, long tookNanos) {}

    /** The client got the final answer: {@code served}, {@code refused} or {@code failed}. */
    default void answered(long number, String answer) {}

    /** The client left before its answer. */
    default void clientLeft(long number) {}

    /** A client connection was closed by this process, for the given reason. */
    default void connectionClosed(String client, String reason, String stage) {}

    /** A call to discovery began. */
    default void discoveryAsked(boolean watching, long fromRevision) {}

    /** A call to discovery failed or ended. */
    default void discoveryFailed(boolean watching, String reason) {}

    /** An endpoint list or a change was read. */
    default void listReceived(boolean watching, long revision, boolean outdated, ListKind kind, List<Target> targets) {}
}
