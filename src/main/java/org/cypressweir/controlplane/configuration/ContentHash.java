package org.cypressweir.controlplane.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/** A hash of an item's content, equal for equivalent contents. It is stored and sent, so it must never change. */
final class ContentHash {

    private static final String WITHDRAWN = "-";
    private static final String ALGORITHM = "SHA-256";
    private static final int BYTES = 16;

    private ContentHash() {}

    /** The hash in hexadecimal digits, or a fixed text for the null content of a withdrawn item. */
    static String of(Map<String, Object> content) {
        if (content == null) {
            return WITHDRAWN;
        }
        byte[] canonical = JsonTextWriter.canonical(content).getBytes(StandardCharsets.UTF_8);
        return HexFormat.of().formatHex(digest(canonical), 0, BYTES);
    }

    private static byte[] digest(byte[] bytes) {
        try {
            return MessageDigest.getInstance(ALGORITHM).digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
