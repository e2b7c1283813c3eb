package org.cypressweir.fleet.membership;

/** Status of a member in one incarnation; it only moves forward. It is sent as its ordinal, so the order is fixed. */
public enum MemberStatus {
    /** It has announced itself; no neighbor has exchanged messages with it both ways yet. */
    CANDIDATE,
    /** A neighbor has admitted it. */
    MEMBER,
    /** It was removed, since it could not be reached. */
    OUT,
    /** It has said that it leaves. */
    LEFT;

    boolean isEnded() {
        return this == OUT || this == LEFT;
    }
}
