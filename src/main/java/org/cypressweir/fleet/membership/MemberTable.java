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
 * The entries that a process knows, a name each, and which of them are in its view. An entry says what is
 * known of a member everywhere; the view says with whom this process takes it that all who can talk do talk.
 * The two differ while a member comes back, or while its end is not certain yet: then it is held in the view.
 */
final class MemberTable {

    /** What has ended is told on for so long, and remembered for twice that: late words find it ended. */
    static final long TOLD_MICROS = 300_000_000;

    private final Map<String, MemberRecord> entries = new HashMap<>();
    private final Set<String> held = new HashSet<>();
    /** When those that have ended did so; none of them is in the digests once it is told no more. */
    private final Map<String, Long> endedAt = new HashMap<>();

    private final Set<String> muted = new HashSet<>();
    private final int[] buckets = new int[MembershipMessage.PARTS];
    private long digest;
    private long fingerprint;
    private int live;

    MemberRecord get(String name) {
        return entries.get(name);
    }

    Collection<MemberRecord> all() {
        return entries.values();
    }

    int size() {
        return entries.size();
    }

    /** Members in the view. */
    int live() {
        return live;
    }

    /** The same wherever the same names are in the view. */
    long fingerprint() {
        return fingerprint;
    }

    long digest() {
        return digest;
    }

    boolean isIn(String name) {
        MemberRecord e = entries.get(name);
        return e != null && (e.standing() == MemberStatus.MEMBER || held.contains(name));
    }

    /** Names in the view. */
    List<String> view() {
        List<String> view = new ArrayList<>(live);
        for (String name : entries.keySet()) {
            if (isIn(name)) {
                view.add(name);
            }
        }
        return view;
    }

    /** Those that have ended without a word, and may be there all the same. */
    List<MemberRecord> lost() {
        List<MemberRecord> lost = new ArrayList<>();
        for (String name : endedAt.keySet()) {
            if (entries.get(name).standing() == MemberStatus.OUT && !held.contains(name)) {
                lost.add(entries.get(name));
            }
        }
        return lost;
    }

    /** Takes an entry in the place of the one of its name; whether it is in the view stays as it is. */
    void put(long now, MemberRecord entry, boolean in) {
        String name = entry.name();
        boolean was = isIn(name);
        MemberRecord old = entries.put(name, entry);
        if (old != null && !muted.remove(name)) {
            turn(old);
        }
        turn(entry);
        if (entry.standing().ended()) {
            endedAt.putIfAbsent(name, now - entry.age() * 1_000_000L);
        } else {
            endedAt.remove(name);
        }
        if (in && entry.standing() != MemberStatus.MEMBER) {
            held.add(name);
        } else {
            held.remove(name);
        }
        counted(name, was);
    }

    /** It is in the view no longer, whatever its entry says; a member's entry has to end for that. */
    void release(String name) {
        boolean was = isIn(name);
        held.remove(name);
        counted(name, was);
    }

    private void counted(String name, boolean was) {
        if (was != isIn(name)) {
            fingerprint ^= Hashes.mix(Ids.of(name), RING_SALT);
            live += was ? -1 : 1;
        }
    }

    private static final long RING_SALT = 77;

    private void turn(MemberRecord entry) {
        long hash = entry.hash();
        digest ^= hash;
        buckets[bucket(entry.name())] ^= (int) hash;
    }

    private static int bucket(String name) {
        return (int) Long.remainderUnsigned(Hashes.mix(Ids.of(name), ~RING_SALT), MembershipMessage.PARTS);
    }

    /** Ends of long ago are told no more, and then forgotten. */
    void expire(long now) {
        List<String> forgotten = new ArrayList<>();
        for (Map.Entry<String, Long> ended : endedAt.entrySet()) {
            long age = now - ended.getValue();
            if (age > TOLD_MICROS && muted.add(ended.getKey())) {
                turn(entries.get(ended.getKey()));
            }
            if (age > 2 * TOLD_MICROS) {
                forgotten.add(ended.getKey());
            }
        }
        for (String name : forgotten) {
            endedAt.remove(name);
            muted.remove(name);
            entries.remove(name);
        }
    }

    /** Whether it is too late to tell anybody of this end. */
    static boolean isStale(MemberRecord entry) {
        return entry.standing().ended() && entry.age() * 1_000_000L > TOLD_MICROS;
    }

    /** The entry as it is told now. */
    MemberRecord told(long now, MemberRecord entry) {
        Long ended = endedAt.get(entry.name());
        return ended == null ? entry : entry.aged((int) ((now - ended) / 1_000_000));
    }

    List<Integer> buckets() {
        List<Integer> list = new ArrayList<>(buckets.length);
        for (int b : buckets) {
            list.add(b);
        }
        return list;
    }

    /** What somebody with these digests may lack, whole parts one after the other from this one on. */
    List<MemberRecord> beyond(List<Integer> others, int first) {
        List<List<MemberRecord>> parts = new ArrayList<>();
        for (int i = 0; i < buckets.length; i++) {
            parts.add(i < others.size() && others.get(i) != buckets[i] ? new ArrayList<>() : null);
        }
        for (MemberRecord e : entries.values()) {
            List<MemberRecord> part = parts.get(bucket(e.name()));
            if (part != null && !muted.contains(e.name())) {
                part.add(e);
            }
        }
        List<MemberRecord> found = new ArrayList<>();
        for (int i = 0; i < buckets.length; i++) {
            List<MemberRecord> part = parts.get((first + i) % buckets.length);
            if (part != null) {
                found.addAll(part);
            }
        }
        return found;
    }
}
