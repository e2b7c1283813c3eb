package org.cypressweir.fleet.membership;

/**
 * Status of a member in one incarnation; it only advances. It is sent as its ordinal, so the order must not change.
 */
public enum MemberStatus {
    /** Announced, but no neighbor has exchanged messages with it both ways yet. */
    CANDIDATE,
    /** Admitted by a neighbor. */
    MEMBER,
    /** Removed because it could not be reached. */
    OUT,
    /** Announced that it leaves. */
    LEFT;

    boolean isEnded() {
        return this == OUT || this == LEFT;
    }
}
