package pondridge.gateway;

import pondridge.core.Evidence;

/** The headers of the link between two gateways; none of them goes on to a client or a server. */
final class LinkHeaders {
    /** All of them begin so. */
    static final String PREFIX = "bankflow-";
    /** The version of what is said by them; a gateway that does not know it turns requests away unseen. */
    static final String VERSION = "bankflow-link";
    /** What this program speaks. */
    static final String SPOKEN = "1";
    /** The sender's site; must be the one that its certificate names. */
    static final String SITE = "bankflow-site";
    /** How many links the request has come by, this one included. */
    static final String HOPS = "bankflow-hops";
    /** The far gateway's own stamp, echoed by the near one; see {@link Stamps}. */
    static final String STAMP = "bankflow-stamp";
    /** How long in whole milliseconds the far site may take from when it has the request. */
    static final String LEFT = "bankflow-left-ms";
    /** With an answer: how many more requests the far gateway takes from this site just now. */
    static final String CREDIT = "bankflow-credit";
    /** With a beat: how the sender sees its own site, see {@link Views}; an older version says nothing. */
    static final String VIEW = "bankflow-view";
    /** With a beat's answer: how the other gateways of the asking site see it. */
    static final String OTHERS = "bankflow-others";
    /** With an answer: the one a request gave before, with no second run. */
    static final String REPLAYED = "bankflow-replayed";
    /** With an answer that says that nothing of the request has run: as servers say it. */
    static final String NEVER_RAN = Evidence.DECLINED;
    /** The path of a beat: asks for nothing but a stamp and credit. */
    static final String BEAT = "/bankflow/beat";

    private LinkHeaders() {}
}
