package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * The records that a process knows, one for each name, and which of them are in its view. A record says what all
 * processes know about a member; the view contains the members that are live as this process sees it. They differ while
 * a member rejoins and while its removal may still be refuted: such a member is retained in the view.
 */
final class MemberTable {

    /**
     * How long the tombstone of a member that left or was removed is disseminated. It is kept for twice that, so that
     * late updates are recognized.
     */
    static final long TOMBSTONE_SPREAD_MICROS = 300_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000L;
    /** Must not change: all processes must assign a name to the same bucket. */
    private static final long VIEW_SALT = 77;

    private final Map<String, MemberRecord> records = new HashMap<>();
    /** Names in the view whose status is not {@link MemberStatus#MEMBER}. */
    private final Set<String> retained = new HashSet<>();
    /** When members left or were removed. */
    private final Map<String, Long> endedAt = new HashMap<>();
    /** Names of old tombstones that are neither disseminated nor part of the digests any more. */
    private final Set<String> retiredTombstones = new HashSet<>();

    private final int[] bucketDigests = new int[MembershipMessage.BUCKET_COUNT];
    private long digest;
    private long viewFingerprint;
    private int liveCount;

    MemberRecord get(String name) {
        return records.get(name);
    }

    Collection<MemberRecord> all() {
        return records.values();
    }

    int size() {
        return records.size();
    }

    /** Number of members in the view. */
    int liveCount() {
        return liveCount;
    }

    /** Equal in all processes whose views contain the same names. */
    long viewFingerprint() {
        return viewFingerprint;
    }

    /** Equal in all processes that know the same records. */
    long digest() {
        return digest;
    }

    boolean isInView(String name) {
        MemberRecord known = records.get(name);
        return known != null && (known.status() == MemberStatus.MEMBER || retained.contains(name));
    }

    /** Names in the view. */
    List<String> viewNames() {
        List<String> names = new ArrayList<>(liveCount);
        for (String name : records.keySet()) {
            if (isInView(name)) {
                names.add(name);
            }
        }
        return names;
    }

    /** Members that were removed without having left; they may still be running. */
    List<MemberRecord> removedMembers() {
        List<MemberRecord> removed = new ArrayList<>();
        for (String name : endedAt.keySet()) {
            MemberRecord ended = records.get(name);
            if (ended.status() == MemberStatus.OUT && !retained.contains(name)) {
                removed.add(ended);
            }
        }
        return removed;
    }

    /**
     * Replaces the record of a name, and updates the view. A record with status {@link MemberStatus#MEMBER} is always
     * in the view.
     */
    void put(long now, MemberRecord updated, boolean isInView) {
        String name = updated.name();
        boolean wasInView = isInView(name);
        MemberRecord old = records.put(name, updated);
        if (old != null && !retiredTombstones.remove(name)) {
            toggleInDigests(old);
        }
        toggleInDigests(updated);
        if (updated.status().isEnded()) {
            endedAt.putIfAbsent(name, now - updated.endedSeconds() * MICROS_PER_SECOND);
        } else {
            endedAt.remove(name);
        }
        if (isInView && updated.status() != MemberStatus.MEMBER) {
            retained.add(name);
        } else {
            retained.remove(name);
        }
        updateView(name, wasInView);
    }

    /**
     * Removes a retained name from the view. A name with status {@link MemberStatus#MEMBER} stays in the view until its
     * record is replaced.
     */
    void removeFromView(String name) {
        boolean wasInView = isInView(name);
        retained.remove(name);
        updateView(name, wasInView);
    }

    private void updateView(String name, boolean wasInView) {
        if (wasInView != isInView(name)) {
            viewFingerprint ^= Hashes.mix(Ids.of(name), VIEW_SALT);
            liveCount += wasInView ? -1 : 1;
        }
    }

    private void toggleInDigests(MemberRecord toggled) {
        long hash = toggled.hash();
        digest ^= hash;
        bucketDigests[bucket(toggled.name())] ^= (int) hash;
    }

    private static int bucket(String name) {
        long hash = Hashes.mix(Ids.of(name), ~VIEW_SALT);
        return (int) Long.remainderUnsigned(hash, MembershipMessage.BUCKET_COUNT);
    }

    /** Stops the dissemination of old tombstones, and later discards them. */
    void expire(long now) {
        List<String> forgotten = new ArrayList<>();
        for (Map.Entry<String, Long> ended : endedAt.entrySet()) {
            long ageMicros = now - ended.getValue();
            if (ageMicros > TOMBSTONE_SPREAD_MICROS && retiredTombstones.add(ended.getKey())) {
                toggleInDigests(records.get(ended.getKey()));
            }
            if (ageMicros > 2 * TOMBSTONE_SPREAD_MICROS) {
                forgotten.add(ended.getKey());
            }
        }
        for (String name : forgotten) {
            endedAt.remove(name);
            retiredTombstones.remove(name);
            records.remove(name);
        }
    }

    /** Whether the record is a tombstone that is too old to be disseminated. */
    static boolean isStale(MemberRecord memberRecord) {
        return memberRecord.status().isEnded()
                && memberRecord.endedSeconds() * MICROS_PER_SECOND > TOMBSTONE_SPREAD_MICROS;
    }

    /** The record as it is sent now, with the time since the member left or was removed. */
    MemberRecord withAge(long now, MemberRecord sent) {
        Long ended = endedAt.get(sent.name());
        return ended == null ? sent : sent.withEndedSeconds((int) ((now - ended) / MICROS_PER_SECOND));
    }

    List<Integer> bucketDigests() {
        List<Integer> digests = new ArrayList<>(bucketDigests.length);
        for (int bucketDigest : bucketDigests) {
            digests.add(bucketDigest);
        }
        return digests;
    }

    /**
     * Records of the buckets whose digests differ from the given ones, in the order of buckets from the given one on.
     */
    List<MemberRecord> recordsOfDifferentBuckets(List<Integer> otherDigests, int firstBucket) {
        List<List<MemberRecord>> buckets = new ArrayList<>();
        for (int i = 0; i < bucketDigests.length; i++) {
            boolean differs = i < otherDigests.size() && otherDigests.get(i) != bucketDigests[i];
            buckets.add(differs ? new ArrayList<>() : null);
        }
        for (MemberRecord known : records.values()) {
            List<MemberRecord> bucket = buckets.get(bucket(known.name()));
            if (bucket != null && !retiredTombstones.contains(known.name())) {
                bucket.add(known);
            }
        }
        List<MemberRecord> found = new ArrayList<>();
        for (int i = 0; i < bucketDigests.length; i++) {
            List<MemberRecord> bucket = buckets.get((firstBucket + i) % bucketDigests.length);
            if (bucket != null) {
                found.addAll(bucket);
            }
        }
        return found;
    }
}
