package org.cypressweir.controlplane.configuration;

/** A lower version that was taken, and the beginning of its content's print. */
public record SupersededVersion(long version, String print) {

    /** 64 bits: it is compared with the print of one other content at that version, and with no more. */
    private static final int DIGITS = 16;

    public SupersededVersion {
        print = print.length() > DIGITS ? print.substring(0, DIGITS) : print;
    }

    /** What checksums over items are made from. The text is fixed: controllers of other builds compare checksums. */
    String checksumText() {
        return "Past[version=" + version + ", print=" + print + "]";
    }
}
