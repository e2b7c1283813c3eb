package org.cypressweir.fleet.membership;

import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * What is known of one name. Merging is commutative, so all processes end with the same record in whatever order they
 * receive records.
 *
 * @param version of the facts
 * @param facts what the member says of itself, such as where clients reach it
 * @param endedSeconds seconds since it was removed or left, by the sender's clock; 0 for any other
 */
public record MemberRecord(Peer peer, MemberStatus status, int version, Map<String, String> facts, int endedSeconds) {

    private static final int BASE_BYTES = 64;
    private static final int BASE_BYTES_PER_FACT = 4;
    private static final int MAX_BYTES_PER_CHARACTER = 3;

    String name() {
        return peer.name();
    }

    int incarnation() {
        return peer.incarnation();
    }

    MemberRecord withStatus(MemberStatus newStatus) {
        return new MemberRecord(peer, newStatus, version, facts, 0);
    }

    MemberRecord withEndedSeconds(int seconds) {
        return new MemberRecord(peer, status, version, facts, seconds);
    }

    /** Whether both are about the same process in the same incarnation. */
    boolean isSameIncarnation(MemberRecord other) {
        return other.incarnation() == incarnation() && other.peer.processId() == peer.processId();
    }

    /** Whether the name belongs to the other one: a later incarnation, or the earlier of two processes. */
    boolean isSupersededBy(Peer other) {
        if (other.incarnation() != peer.incarnation()) {
            return other.incarnation() > peer.incarnation();
        }
        if (other.processId() == peer.processId()) {
            return false;
        }
        return other.startedAtMillis() != peer.startedAtMillis()
                ? other.startedAtMillis() < peer.startedAtMillis()
                : other.processId() < peer.processId();
    }

    /** This record with what another one knows besides; this object itself where that is nothing. */
    MemberRecord merge(MemberRecord other) {
        if (isSupersededBy(other.peer)) {
            return other;
        }
        if (!isSameIncarnation(other)) {
            return this;
        }
        boolean hasLaterStatus = other.status.compareTo(status) > 0;
        boolean hasNewerFacts = other.version > version;
        if (!hasLaterStatus && !hasNewerFacts) {
            return this;
        }
        return new MemberRecord(
                peer,
                hasLaterStatus ? other.status : status,
                hasNewerFacts ? other.version : version,
                hasNewerFacts ? other.facts : facts,
                hasLaterStatus ? other.endedSeconds : endedSeconds);
    }

    /** The same in all processes that know the same; age and address follow from the rest. */
    long hash() {
        long identity = Hashes.mix(Ids.of(name()), peer.processId());
        return Hashes.mix(identity, ((long) incarnation() << 34) + ((long) version << 2) + status.ordinal());
    }

    /** Bytes that it takes in a datagram, at most. */
    int encodedSize() {
        int size = BASE_BYTES + MAX_BYTES_PER_CHARACTER * name().length();
        for (Map.Entry<String, String> fact : facts.entrySet()) {
            int characters = fact.getKey().length() + fact.getValue().length();
            size += BASE_BYTES_PER_FACT + MAX_BYTES_PER_CHARACTER * characters;
        }
        return size;
    }
}
