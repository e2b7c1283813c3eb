package org.cypressweir.fleet.membership;

/** How far a member is in one incarnation; it only goes forward. */
public enum MemberStatus {
    /** It has said that it is there; no neighbour has talked with it both ways yet. */
    CANDIDATE,
    MEMBER,
    /** Nobody could talk with it. */
    OUT,
    /** It has said that it goes. */
    LEFT;

    boolean ended() {
        return this == OUT || this == LEFT;
    }
}
