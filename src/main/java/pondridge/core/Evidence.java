package pondridge.core;

import pondridge.Balancer.Outcome;

/** What an upstream's whole answer is, and what it proves, whatever protocol it came by. */
public final class Evidence {
    /** The header by which an upstream says that it turned a request away unseen. */
    public static final String DECLINED = "Srv-Declined";

    private Evidence() {}

    /**
     * An answer's outcome.
     *
     * @param declined the answer carries {@link #DECLINED} with the value 1
     */
    public static Outcome ofAnswer(int status, boolean declined) {
        return switch (status) {
            case 200 -> Outcome.OK;
            case 503, 504 -> declined ? Outcome.REJECTED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }
}
