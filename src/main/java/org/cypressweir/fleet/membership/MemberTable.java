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
 * processes know of a member; the view says who is live as this process sees it. They differ while a member comes back
 * and while its removal may still be denied: such a member is retained in the view.
 */
final class MemberTable {

    /** For so long the end of a member is spread. It is remembered for twice that, so that late updates are known. */
    static final long ENDED_SPREAD_MICROS = 300_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000L;
    /** Fixed: monitoring rings of all processes have to be the same. */
    private static final long VIEW_SALT = 77;

    private final Map<String, MemberRecord> records = new HashMap<>();
    /** Names in the view whose record is not that of a member. */
    private final Set<String> retained = new HashSet<>();
    /** When members left or were removed. */
    private final Map<String, Long> endedAt = new HashMap<>();
    /** Ended long ago: not spread any more, and not in the digests. */
    private final Set<String> silenced = new HashSet<>();

    private final int[] bucketDigests = new int[MembershipMessage.BUCKETS];
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

    /** Members in the view. */
    int liveCount() {
        return liveCount;
    }

    /** The same wherever the same names are in the view. */
    long viewFingerprint() {
        return viewFingerprint;
    }

    /** The same wherever the same records are known. */
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

    /** Members that were removed without having left: they may be live all the same. */
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

    /** Replaces the record of a name. */
    void put(long now, MemberRecord updated, boolean isInView) {
        String name = updated.name();
        boolean wasInView = isInView(name);
        MemberRecord old = records.put(name, updated);
        if (old != null && !silenced.remove(name)) {
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

    /** Removes a name that was retained from the view; the record of a member has to be replaced for that. */
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
        return (int) Long.remainderUnsigned(hash, MembershipMessage.BUCKETS);
    }

    /** Silences members that ended long ago, and then forgets them. */
    void expire(long now) {
        List<String> forgotten = new ArrayList<>();
        for (Map.Entry<String, Long> ended : endedAt.entrySet()) {
            long ageMicros = now - ended.getValue();
            if (ageMicros > ENDED_SPREAD_MICROS && silenced.add(ended.getKey())) {
                toggleInDigests(records.get(ended.getKey()));
            }
            if (ageMicros > 2 * ENDED_SPREAD_MICROS) {
                forgotten.add(ended.getKey());
            }
        }
        for (String name : forgotten) {
            endedAt.remove(name);
            silenced.remove(name);
            records.remove(name);
        }
    }

    /** Whether the member ended so long ago that this is not spread any more. */
    static boolean isStale(MemberRecord candidate) {
        return candidate.status().isEnded() && candidate.endedSeconds() * MICROS_PER_SECOND > ENDED_SPREAD_MICROS;
    }

    /** The record as it is sent now: with the time since the member ended. */
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

    /** Records of the buckets whose digests differ from these, bucket after bucket from the given one on. */
    List<MemberRecord> recordsOfDifferentBuckets(List<Integer> otherDigests, int firstBucket) {
        List<List<MemberRecord>> buckets = new ArrayList<>();
        for (int i = 0; i < bucketDigests.length; i++) {
            boolean differs = i < otherDigests.size() && otherDigests.get(i) != bucketDigests[i];
            buckets.add(differs ? new ArrayList<>() : null);
        }
        for (MemberRecord known : records.values()) {
            List<MemberRecord> bucket = buckets.get(bucket(known.name()));
            if (bucket != null && !silenced.contains(known.name())) {
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
