package org.cypressweir.controlplane.configuration;

/** A version of an item that was accepted and has a higher one above it, with the beginning of its content hash. */
public record SupersededVersion(long version, String contentHash) {

    /** 64 bits: it is compared with the hash of one other content at that version, and with no more. */
    private static final int HEX_DIGITS = 16;

    public SupersededVersion {
        contentHash = contentHash.length() > HEX_DIGITS ? contentHash.substring(0, HEX_DIGITS) : contentHash;
    }

    /** What checksums over items are made from. The text is fixed: controllers of other builds compare checksums. */
    String checksumText() {
        return "Past[version=" + version + ", print=" + contentHash + "]";
    }
}
