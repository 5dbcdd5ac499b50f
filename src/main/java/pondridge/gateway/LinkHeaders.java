package pondridge.gateway;

import pondridge.core.ResponseClassifier;

/** Headers of the link between two gateways; none of them is passed on to a client or a server. */
final class LinkHeaders {
    /** The prefix of all link headers. */
    static final String PREFIX = "bankflow-";
    /** The protocol version; a gateway rejects requests of an unknown version unprocessed. */
    static final String VERSION = "bankflow-link";
    /** The version that this program supports. */
    static final String SUPPORTED_VERSION = "1";
    /** The sender's site; must be named by its certificate. */
    static final String SITE = "bankflow-site";
    /** The number of links that the request has passed, this one included. */
    static final String HOPS = "bankflow-hops";
    /** The receiving gateway's own timestamp, echoed by the sender; see {@link EchoedTimestamps}. */
    static final String TIMESTAMP = "bankflow-stamp";
    /** The time in whole milliseconds that the receiving site may use once it has the request. */
    static final String TIME_LEFT = "bankflow-left-ms";
    /** On responses: how many more requests the gateway takes from the requesting site now. */
    static final String CREDIT = "bankflow-credit";
    /** On heartbeats: how the sender sees its own site, see {@link SiteStateReports}; missing from older versions. */
    static final String SITE_STATE = "bankflow-view";
    /** On heartbeat responses: how the other gateways of the requesting site see that site. */
    static final String PEER_STATES = "bankflow-others";
    /** On responses: the response of an earlier run, without a second run. */
    static final String REPLAYED = "bankflow-replayed";
    /** On responses: the request was not executed; the same header that servers set. */
    static final String NOT_EXECUTED = ResponseClassifier.DECLINED_HEADER;
    /** The path of heartbeats, which return a timestamp and credit. */
    static final String HEARTBEAT_PATH = "/bankflow/beat";

    private LinkHeaders() {}
}
