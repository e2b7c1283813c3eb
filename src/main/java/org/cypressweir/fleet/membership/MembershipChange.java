package org.cypressweir.fleet.membership;

/**
 * A change of one process's membership view.
 *
 * @param cause explanation for operators
 * @param liveCount number of members in the view after the change, including this process
 */
public record MembershipChange(Kind kind, String name, int incarnation, String cause, int liveCount) {

    /** What happened to the member. The names are printed in lower case, so they must not change. */
    public enum Kind {
        JOINED,
        BACK,
        OUT,
        LEFT
    }
}
