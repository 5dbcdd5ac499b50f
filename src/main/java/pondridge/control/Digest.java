package pondridge.control;

/**
 * One number for a set of entries: the sum, modulo 2^64, of a hash of each, so that the order does not matter
 * and a change costs one subtraction and one addition. The hash is 64-bit FNV-1a over the text's UTF-16
 * units, ended by the finalizer of MurmurHash3. It finds faults, not forgery.
 */
final class Digest {
    private static final long BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Digest() {}

    /** Of one entry; parts are set apart, so that no two entries share a text. */
    static long of(String service, String name, String state, String body) {
        return mixed(add(add(add(add(BASIS, service), name), state), body));
    }

    /** Of two texts, for drawing lots. */
    static long of(String one, String other) {
        return mixed(add(add(BASIS, one), other));
    }

    /** A share from 0 to under 1, always the same for the same two texts. */
    static double share(String one, String other) {
        return (of(one, other) >>> 11) / (double) (1L << 53);
    }

    private static long add(long hash, String text) {
        long sum = hash;
        for (int i = 0; i < text.length(); i++) {
            char each = text.charAt(i);
            sum = (sum ^ each & 0xff) * PRIME;
            sum = (sum ^ each >>> 8) * PRIME;
        }
        return (sum ^ 0x1ff) * PRIME;
    }

    private static long mixed(long hash) {
        long sum = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        sum = (sum ^ sum >>> 33) * 0xc4ceb9fe1a85ec53L;
        return sum ^ sum >>> 33;
    }
}
