package org.cypressweir.common.util;

import java.util.Arrays;

/** Hashes that must be the same in every sidecar and after every restart. */
public final class Hashes {

    private Hashes() {}

    /** An id with a salt, mixed as in SplitMix64 (Steele, Lea and Flood, 2014). */
    public static long mix(long id, long salt) {
        long h = id * 0x9E3779B97F4A7C15L + (salt + 1) * 0xC2B2AE3D27D4EB4FL;
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return h ^ (h >>> 31);
    }

    /** The same as a number from 0 to below 1. */
    public static double uniform(long id, long salt) {
        return (mix(id, salt) >>> 11) * 0x1.0p-53;
    }

    /**
     * Rendezvous hashing (Thaler and Ravishankar, 1998): these numbers, each from 0 to below 2^20, in the
     * order of their hashes with an id, so that one number more or less leaves the order of the others as it
     * is.
     */
    public static int[] ranked(long id, int[] numbers) {
        int low = (1 << 20) - 1;
        long[] keys = new long[numbers.length];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = mix(id, numbers[i]) & ~low | numbers[i];
        }
        Arrays.sort(keys);
        int[] ranked = new int[keys.length];
        for (int i = 0; i < keys.length; i++) {
            ranked[i] = (int) keys[i] & low;
        }
        return ranked;
    }

    /**
     * Jump consistent hash (Lamping and Veach, 2014): one of so many buckets; one bucket more takes just its
     * own part from the others.
     *
     * @param key evenly spread over all longs
     * @param buckets 1 or more
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
