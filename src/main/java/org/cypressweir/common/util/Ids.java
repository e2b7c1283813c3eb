package org.cypressweir.common.util;

/** Numbers for texts, the same in every sidecar and after every restart. */
public final class Ids {

    private Ids() {}

    /** FNV-1a in 64 bits without the sign: server ids and keys must agree between sidecars. */
    public static long of(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash & Long.MAX_VALUE;
    }
}
