package org.cypressweir.common.util;

import java.util.Arrays;

/**
 * Hash functions whose values are equal in every process and after every restart: processes agree on a placement
 * without exchanging it, so the values must never change.
 */
public final class Hashes {

    /** Numbers that are ranked have at most this many bits. */
    private static final int RANKED_BITS = 20;

    private static final int RANKED_MASK = (1 << RANKED_BITS) - 1;

    private Hashes() {}

    /** The hash of an id and a salt, by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
    public static long mix(long id, long salt) {
        long hash = id * 0x9E3779B97F4A7C15L + (salt + 1) * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
        return hash ^ (hash >>> 31);
    }

    /** The same hash as a number in [0, 1). */
    public static double uniform(long id, long salt) {
        return (mix(id, salt) >>> 11) * 0x1.0p-53;
    }

    /**
     * Rendezvous hashing (Thaler and Ravishankar, 1998): orders numbers by the hash of an id and the number. Adding
     * or removing a number leaves the order of the others as it is.
     *
     * @param numbers each from 0 to below 2^20; not changed
     */
    public static int[] ranked(long id, int[] numbers) {
        long[] keys = new long[numbers.length];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = mix(id, numbers[i]) & ~RANKED_MASK | numbers[i];
        }
        Arrays.sort(keys);
        int[] ranked = new int[keys.length];
        for (int i = 0; i < keys.length; i++) {
            ranked[i] = (int) keys[i] & RANKED_MASK;
        }
        return ranked;
    }

    /**
     * Jump consistent hash (Lamping and Veach, 2014): the bucket of a key. A new last bucket only takes keys over
     * from the others; no key moves between the old ones.
     *
     * @param key evenly distributed over all longs
     * @param buckets their number, at least 1
     */
    public static int jump(long key, int buckets) {
        long bucket = -1;
        for (long next = 0; next < buckets; ) {
            bucket = next;
            key = key * 2862933555777941757L + 1;
            next = (long) ((bucket + 1) * (0x1p31 / ((key >>> 33) + 1)));
        }
        return (int) bucket;
    }
}
