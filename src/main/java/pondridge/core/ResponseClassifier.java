package pondridge.core;

import pondridge.Balancer.Outcome;

/** Classifies an upstream's complete response as an attempt's outcome, for every protocol. */
public final class ResponseClassifier {
    /** The header by which an upstream states that it rejected a request without processing it. */
    public static final String DECLINED_HEADER = "Srv-Declined";

    private ResponseClassifier() {}

    /**
     * The outcome that a response stands for.
     *
     * @param declined whether the response carries {@link #DECLINED_HEADER} with the value 1
     */
    public static Outcome outcomeOf(int status, boolean declined) {
        return switch (status) {
            case 200 -> Outcome.OK;
            case 503, 504 -> declined ? Outcome.REJECTED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }
}
