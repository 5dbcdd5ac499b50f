package pondridge.siteloss;

/**
 * Which requests of a class are refused where only a part of them finds room: the same ones at every
 * gateway, so that a
 * client that asks again elsewhere draws no new lot. By a hash of the request's key, salted by an epoch that
 * turns now
 * and then, so that nobody is always the one.
 */
public final class RefusalOrder {
    private RefusalOrder() {}

    /**
     * Whether it is among the part that finds room.
     *
     * @param key stays the same over a client's repeats
     * @param admitted from 0 to 1; who is in for some part is in for every greater one
     */
    public static boolean admits(long key, long epoch, double admitted) {
        return place(key, epoch) < admitted;
    }

    /** From 0 to 1, evenly over keys, anew in each epoch; the finaliser is that of MurmurHash3, 64 bits. */
    static double place(long key, long epoch) {
        long hash = mixed(key + mixed(epoch + 0x9e3779b97f4a7c15L));
        return (hash >>> 11) * 0x1.0p-53;
    }

    private static long mixed(long value) {
        long hash = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
