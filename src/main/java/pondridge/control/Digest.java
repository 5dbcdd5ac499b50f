package pondridge.control;

/**
 * An order-independent digest of a set of entries: the sum, modulo 2^64, of a hash of each entry. A change
 * costs one subtraction and one addition. The hash is 64-bit FNV-1a over the UTF-16 units of the text,
 * followed by the finalizer of MurmurHash3. It detects errors, not forgery.
 */
final class Digest {
    private static final long BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Digest() {}

    /** Returns the hash of one entry. Its parts are separated, so that no two entries share a text. */
    static long of(String service, String name, String state, String body) {
        return finish(append(append(append(append(BASIS, service), name), state), body));
    }

    /** Returns the hash of two texts, for pseudo-random choices. */
    static long of(String first, String second) {
        return finish(append(append(BASIS, first), second));
    }

    /** Returns a fraction from 0 to under 1 that is always the same for the same two texts. */
    static double fraction(String first, String second) {
        return (of(first, second) >>> 11) / (double) (1L << 53);
    }

    private static long append(long hash, String text) {
        long result = hash;
        for (int i = 0; i < text.length(); i++) {
            char each = text.charAt(i);
            result = (result ^ each & 0xff) * PRIME;
            result = (result ^ each >>> 8) * PRIME;
        }
        return (result ^ 0x1ff) * PRIME;
    }

    private static long finish(long hash) {
        long result = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        result = (result ^ result >>> 33) * 0xc4ceb9fe1a85ec53L;
        return result ^ result >>> 33;
    }
}
