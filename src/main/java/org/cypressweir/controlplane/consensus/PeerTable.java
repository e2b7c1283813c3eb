package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What other harbours told of themselves last, and when each was heard. */
final class PeerTable {

    /** What a harbour tells of its copy. */
    record Word(
            long life,
            ProposalNumber accepted,
            ProposalNumber decided,
            List<String> crew,
            boolean blank,
            boolean hearsay) {}

    private final ReplicaContext desk;
    private final Map<String, Long> heard = new HashMap<>();
    private final Map<String, Long> met = new HashMap<>();
    private final Map<String, Word> words = new HashMap<>();
    private final Map<String, Long> toldAt = new HashMap<>();
    /** Who leaves, with the life that it said so in. */
    private final Map<String, Long> leaving = new HashMap<>();

    PeerTable(ReplicaContext desk) {
        this.desk = desk;
    }

    void heard(String from) {
        heard.put(from, desk.now);
    }

    /**
     * Takes a word unless it is of an earlier life. Lives are told by clocks, and a clock may be set back:
     * where the life with the higher number has ceased to tell, the other is the later one.
     */
    boolean take(String from, Word word) {
        Word before = words.get(from);
        if (before != null && before.life > word.life && desk.now - toldAt.get(from) < desk.plan.liveWithin()) {
            return false;
        }
        if (before != null && before.life == word.life && before.accepted.above(word.accepted)) {
            return false;
        }
        words.put(from, word);
        leaving.computeIfPresent(from, (who, life) -> life == word.life ? life : null);
        toldAt.put(from, desk.now);
        return true;
    }

    Word word(String of) {
        return words.get(of);
    }

    /** How long a harbour has been silent; of one never heard, since it was first asked for. */
    long silence(String of) {
        Long last = heard.get(of);
        return desk.now - (last != null ? last : met.computeIfAbsent(of, k -> desk.now));
    }

    /** Whether a harbour that speaks now had fallen silent. */
    boolean isBack(String from) {
        Long last = heard.get(from);
        return last != null && desk.now - last >= desk.plan.liveWithin();
    }

    /** Whether another disk has spoken at that member's address since it spoke last. */
    boolean replaced(String member) {
        long last = heard.getOrDefault(member, Long.MIN_VALUE);
        return heard.entrySet().stream()
                .anyMatch(e -> e.getValue() > last
                        && !e.getKey().equals(member)
                        && ReplicaKey.address(e.getKey()).equals(ReplicaKey.address(member)));
    }

    /** A harbour tells that it leaves, in that life. */
    void leaves(String who, long life) {
        leaving.put(who, life);
    }

    boolean leaves(String who) {
        return leaving.containsKey(who);
    }

    /** Those of them that were heard just now. */
    Set<String> near(Collection<String> of) {
        Set<String> near = new HashSet<>(of);
        near.removeIf(m -> silence(m) > desk.plan.liveWithin() || replaced(m));
        return near;
    }

    /** Harbours heard not long ago. */
    Set<String> live() {
        Set<String> live = new HashSet<>();
        heard.forEach((who, at) -> {
            if (desk.now - at <= desk.plan.silentAfter()) {
                live.add(who);
            }
        });
        return live;
    }

    /** Who said that it accepted that stamp. */
    Set<String> holders(ProposalNumber stamp) {
        Set<String> holders = new HashSet<>();
        words.forEach((who, word) -> {
            if (!word.blank && word.accepted.equals(stamp)) {
                holders.add(who);
            }
        });
        return holders;
    }

    /** Those of them that voted for it. */
    Set<String> voters(ProposalNumber stamp) {
        Set<String> voters = holders(stamp);
        voters.removeIf(who -> words.get(who).hearsay);
        return voters;
    }

    /** Who may have a decided state at hand: those who know it decided. */
    Set<String> knowers(ProposalNumber stamp) {
        Set<String> knowers = new HashSet<>(holders(stamp));
        words.forEach((who, word) -> {
            if (word.decided.equals(stamp)) {
                knowers.add(who);
            }
        });
        return knowers;
    }

    /** Forgets whoever has been silent for long and does not count. */
    void prune(List<String> crew) {
        heard.entrySet()
                .removeIf(e -> desk.now - e.getValue() > 20 * desk.plan.silentAfter() && !crew.contains(e.getKey()));
        words.keySet().removeIf(who -> !heard.containsKey(who));
        toldAt.keySet().retainAll(words.keySet());
        leaving.keySet().retainAll(words.keySet());
        met.keySet().retainAll(crew);
    }
}
