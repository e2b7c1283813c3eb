package org.cypressweir.fleet.membership;

/**
 * A change of the view of one process.
 *
 * @param cause in words, for operators
 * @param live members after the change, this process among them
 */
public record Change(Kind kind, String name, int incarnation, String cause, int live) {

    /** What has become of the member. The names are printed in lower case, so they are fixed. */
    public enum Kind {
        JOINED,
        BACK,
        OUT,
        LEFT
    }
}
