package org.cypressweir.controlplane.configuration;

/** An accepted version of an item that a higher one has superseded, with the beginning of its content hash. */
public record SupersededVersion(long version, String contentHash) {

    /** 64 bits suffice: a hash is only compared with that of one other content of the same version. */
    private static final int HEX_DIGITS = 16;

    public SupersededVersion {
        contentHash = contentHash.length() > HEX_DIGITS ? contentHash.substring(0, HEX_DIGITS) : contentHash;
    }

    /** The input of item checksums. The text is fixed: controllers of different builds compare their checksums. */
    String checksumText() {
        return "Past[version=" + version + ", print=" + contentHash + "]";
    }
}
