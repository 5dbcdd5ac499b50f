package pondridge.gateway;

/**
 * Whether the own clients suffer: more than one in twenty of their requests was not answered in time by the
 * own site. What other sites send then has to be less; who has lost nothing comes first. Counts only.
 */
final class Pressure {
    private static final double FORGIVEN = 0.05;
    private static final double ENOUGH = 2;
    private double troubles;

    /** One of the own clients' requests has ended at the own site; true if that is one too many. */
    boolean ended(boolean inTime) {
        troubles = Math.max(0, troubles + (inTime ? -FORGIVEN : 1));
        boolean enough = troubles >= ENOUGH;
        if (enough) {
            troubles = 0;
        }
        return enough;
    }
}
