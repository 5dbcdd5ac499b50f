package pondridge.siteloss;

/**
 * Decides which requests of a class are admitted when capacity suffices only for a fraction of them. The decision
 * is a hash of the request's key, so that all gateways admit the same requests and a client that retries at
 * another gateway gets the same decision. The hash is salted with an epoch that changes from time to time, so
 * that the same keys are not refused permanently.
 */
public final class RequestAdmission {
    private RequestAdmission() {}

    /**
     * Whether a request is among the admitted fraction.
     *
     * @param key the same for all retries of a client
     * @param admittedFraction from 0 to 1; a key admitted at one fraction is admitted at every greater one
     */
    public static boolean admits(long key, long epoch, double admittedFraction) {
        return hashToUnitInterval(key, epoch) < admittedFraction;
    }

    /** Maps a key to [0, 1), uniformly and independently per epoch, with the 64-bit finaliser of MurmurHash3. */
    static double hashToUnitInterval(long key, long epoch) {
        long hash = mix(key + mix(epoch + 0x9e3779b97f4a7c15L));
        return (hash >>> 11) * 0x1.0p-53;
    }

    private static long mix(long value) {
        long hash = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
