package org.cypressweir.controlplane.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Plans changes of the voters: one removed, or one added, never both at once, so that any majority of the
 * voters before shares a replica with any after (single-server changes, Ongaro 2014, chapter 4). A lost voter is
 * removed before another is added, so that there are never more voters than the target. The next one is removed
 * only after that addition, so that removals never leave more than one voter fewer than the target. A majority
 * of 2f voters is f + 1 disks, so what is committed survives the loss of any f disks, also while voters are
 * replaced.
 */
final class VoterChangePlanner {

    private record Standby(long requestedAt, ProposalNumber accepted) {}

    private record CommittedAt(long at, ProposalNumber number) {}

    private final ReplicaContext context;
    private final VoterMonitor monitor;
    private final int targetVoterCount;
    private final Map<String, Standby> standbys = new TreeMap<>();
    private final Deque<CommittedAt> recentlyCommitted = new ArrayDeque<>();
    /** What a standby must have accepted to be added. */
    private ProposalNumber requiredNumber = ProposalNumber.ZERO;

    private List<String> planned = List.of();
    private long plannedAt;
    private boolean stopped;

    VoterChangePlanner(ReplicaContext context, VoterMonitor monitor, int targetVoterCount) {
        this.context = context;
        this.monitor = monitor;
        this.targetVoterCount = targetVoterCount;
    }

    /** A replica asks to join, with what it has accepted. It counts as a standby for a while. */
    void addStandby(String replica, ProposalNumber accepted) {
        standbys.keySet().removeIf(other -> ReplicaKey.address(other).equals(ReplicaKey.address(replica)));
        standbys.put(replica, new Standby(context.now, accepted));
    }

    void withdrawStandby(String replica) {
        standbys.remove(replica);
    }

    /** To be called often, with the highest number known committed: a standby far behind it is not added. */
    void noteCommitted(ProposalNumber committed) {
        long standbyMicros = 2 * context.options.requestIntervalMicros();
        standbys.values().removeIf(standby -> context.now - standby.requestedAt > standbyMicros);
        if (recentlyCommitted.isEmpty() || committed.above(recentlyCommitted.peekLast().number)) {
            recentlyCommitted.add(new CommittedAt(context.now, committed));
        }
        while (!recentlyCommitted.isEmpty()
                && context.now - recentlyCommitted.peek().at >= context.options.unresponsiveAfterMicros()) {
            requiredNumber = recentlyCommitted.poll().number;
        }
    }

    /**
     * The voters to propose after the given ones, with one added or removed at most. The first voter that
     * responds proposes the change at once, each further one a request interval later, so that their proposals
     * don't compete.
     */
    List<String> nextVoters(List<String> voters) {
        List<String> next = stopped ? voters : plan(voters);
        if (next.equals(voters)) {
            return voters;
        }
        if (!next.equals(planned)) {
            planned = next;
            plannedAt = context.now;
        }
        int rank = monitor.staying(voters).indexOf(context.ownKey);
        boolean due = rank >= 0 && context.now - plannedAt >= rank * context.options.requestIntervalMicros();
        return due ? next : voters;
    }

    /** Plans no more changes. */
    void stop() {
        stopped = true;
    }

    /** The replicas that ask to join. */
    List<String> standbys() {
        return List.copyOf(standbys.keySet());
    }

    /** Whether a standby waits that is up to date and not among those voters. */
    boolean hasStandby(List<String> voters) {
        return standby(voters).isPresent();
    }

    private Optional<String> standby(List<String> voters) {
        return standbys.entrySet().stream()
                .filter(standby ->
                        !voters.contains(standby.getKey()) && !requiredNumber.above(standby.getValue().accepted))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private List<String> plan(List<String> voters) {
        if (!ReplicatedState.isMajority(voters, monitor.live(voters))) {
            return voters;
        }
        Optional<String> standby = standby(voters);
        if (voters.size() < targetVoterCount) {
            return Stream.concat(voters.stream(), standby.stream()).sorted().toList();
        }
        boolean hasSuccessor = standby.isPresent() || voters.size() > targetVoterCount;
        String removed = monitor.toRemove(voters, hasSuccessor);
        return removed == null
                ? voters
                : voters.stream().filter(voter -> !voter.equals(removed)).toList();
    }
}
