package org.cypressweir.common.util;

/** Numeric ids of texts, equal in every process and after every restart; two texts may have the same id. */
public final class Ids {

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Ids() {}

    /** The 64-bit FNV-1a hash of the UTF-16 units of a text (Fowler, Noll and Vo, 1991), without its sign bit. */
    public static long of(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash & Long.MAX_VALUE;
    }
}
