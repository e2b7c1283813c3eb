package org.cypressweir.fleet.membership;

import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * What is known of one name. Of any two entries for a name all processes keep the same one, or the same mix
 * of both, in whatever order they come.
 *
 * @param version of the facts
 * @param facts what the member says of itself, such as where clients reach it
 * @param age seconds since it ended, as the sender counts; 0 for one that has not
 */
public record MemberRecord(Peer peer, MemberStatus standing, int version, Map<String, String> facts, int age) {

    String name() {
        return peer.name();
    }

    int incarnation() {
        return peer.incarnation();
    }

    MemberRecord standing(MemberStatus next) {
        return new MemberRecord(peer, next, version, facts, 0);
    }

    MemberRecord aged(int seconds) {
        return new MemberRecord(peer, standing, version, facts, seconds);
    }

    /** Whether another says more of who has the name: a later incarnation, or the elder of two lives. */
    boolean yieldsTo(Peer other) {
        if (other.incarnation() != peer.incarnation()) {
            return other.incarnation() > peer.incarnation();
        }
        if (other.life() == peer.life()) {
            return false;
        }
        return other.born() != peer.born() ? other.born() < peer.born() : other.life() < peer.life();
    }

    /** This one with what another knows besides; itself where that is nothing. */
    MemberRecord with(MemberRecord other) {
        if (yieldsTo(other.peer)) {
            return other;
        }
        if (other.incarnation() != incarnation() || other.peer.life() != peer.life()) {
            return this;
        }
        boolean further = other.standing.compareTo(standing) > 0;
        boolean newer = other.version > version;
        if (!further && !newer) {
            return this;
        }
        return new MemberRecord(
                peer,
                further ? other.standing : standing,
                newer ? other.version : version,
                newer ? other.facts : facts,
                further ? other.age : age);
    }

    /** The same for all who know the same; age and addresses follow from the rest. */
    long hash() {
        long who = Hashes.mix(Ids.of(name()), peer.life());
        return Hashes.mix(who, ((long) incarnation() << 34) + ((long) version << 2) + standing.ordinal());
    }

    /** Bytes that it takes in a datagram, at most. */
    int size() {
        int size = 64 + 3 * name().length();
        for (Map.Entry<String, String> fact : facts.entrySet()) {
            size += 4 + 3 * (fact.getKey().length() + fact.getValue().length());
        }
        return size;
    }
}
