package org.cypressweir.fleet.membership;

/**
 * The view of a process has changed.
 *
 * @param cause in words, for operators
 * @param live members after it, itself among them
 */
public record Change(Kind kind, String name, int incarnation, String cause, int live) {

    /** What has become of the member. */
    public enum Kind {
        JOINED,
        BACK,
        OUT,
        LEFT
    }
}
