package org.cypressweir.fleet.membership;

import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * What is known about the member of one name. Merging is commutative, so all processes end with the same record in
 * whatever order they receive records.
 *
 * @param version version of the facts
 * @param facts what the member publishes about itself, such as its address for clients
 * @param endedSeconds seconds since the member was removed or left, by the sender's clock; 0 for any other member
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

    /**
     * Whether the other process takes precedence for this name: it has a higher incarnation, or the same incarnation
     * and was started earlier (with equal start times, has the lower process id).
     */
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

    /** This record merged with another one; this object itself if the other one adds nothing. */
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

    /** Equal in all processes that know the same. Age and address are left out, since they follow from the rest. */
    long hash() {
        long identity = Hashes.mix(Ids.of(name()), peer.processId());
        return Hashes.mix(identity, ((long) incarnation() << 34) + ((long) version << 2) + status.ordinal());
    }

    /** Upper bound of the encoded size, in bytes. */
    int encodedSize() {
        int size = BASE_BYTES + MAX_BYTES_PER_CHARACTER * name().length();
        for (Map.Entry<String, String> fact : facts.entrySet()) {
            int characters = fact.getKey().length() + fact.getValue().length();
            size += BASE_BYTES_PER_FACT + MAX_BYTES_PER_CHARACTER * characters;
        }
        return size;
    }
}
