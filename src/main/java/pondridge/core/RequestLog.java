package pondridge.core;

import java.util.List;
import pondridge.Balancer.EndpointListKind;
import pondridge.Balancer.Outcome;

/**
 * Receives the life cycle events of each request, connection and discovery call, so that a request can be
 * traced through a process. Every method is called on the event loop. The default methods do nothing.
 */
public interface RequestLog {
    /** Records nothing. */
    RequestLog NONE = new RequestLog() {};

    /** Environment variable that enables the log if it is 1. */
    String ENVIRONMENT_VARIABLE = "BANKFLOW_REQUEST_LOG";

    /** The log that the environment selects. The class that writes it is loaded only if it is enabled. */
    static RequestLog fromEnvironment() {
        return "1".equals(System.getenv(ENVIRONMENT_VARIABLE)) ? new StderrRequestLog() : NONE;
    }

    /** A complete request was read; {@code number} identifies it within this process. */
    default void requestReceived(long number, Job job) {}

    /** A request of this {@code Req-Id} may have waited this long in its socket or queue before it was read. */
    default void requestAged(String clientRequestId, long ageNanos) {}

    /** An attempt was handed to the transport. */
    default void attemptSent(long number, int attempt, String server, long timeoutNanos) {}

    /** An attempt ended. */
    default void attemptEnded(long number, int attempt, String server, Outcome outcome, long elapsedNanos) {}

    /** The client got its final response: {@code served}, {@code refused} or one that begins with {@code failed}. */
    default void responseSent(long number, String result) {}

    /** The client disconnected before its response. */
    default void clientDisconnected(long number) {}

    /** A client connection was closed by this process, for the given reason. */
    default void connectionClosed(String client, String reason, String state) {}

    /** A discovery call was started. */
    default void discoveryCallStarted(boolean watching, long fromRevision) {}

    /** A discovery call failed or ended. */
    default void discoveryCallFailed(boolean watching, String reason) {}

    /** An endpoint list or a change to it was received. */
    default void endpointListReceived(
            boolean watching, long revision, boolean outdated, EndpointListKind kind, List<Target> targets) {}
}
