package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks a history of acts under leases by one clock: the intervals in which different processes act under a lease must
 * not overlap, and the fencing token must increase from one holder to the next. Acts are recorded in the order of that
 * clock.
 */
public final class LeaseHistory {

    private record LastAct(String process, long at, long token) {}

    private final Map<String, LastAct> last = new HashMap<>();
    private final Map<String, Map<String, Long>> ended = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long count;

    /** Records and checks that a process acts at a time. */
    public void recordAct(String lease, String process, long at, long token) {
        count++;
        LastAct before = last.put(lease, new LastAct(process, at, token));
        if (before == null) {
            return;
        }
        if (at < before.at) {
            throw new IllegalArgumentException("acts are not in the order of the clock");
        }
        if (before.process.equals(process)) {
            if (token < before.token) {
                violations.add(lease + ": " + process + " acts with token " + token + " after " + before.token);
            }
            return;
        }
        if (at == before.at) {
            violations.add(lease + ": " + process + " and " + before.process + " act at the same time, " + at);
        }
        if (token <= before.token) {
            violations.add(lease + ": " + process + " has token " + token + " at " + at + ", and " + before.process
                    + " had " + before.token + " before");
        }
        // A process that another has followed must not act again under its old token.
        Map<String, Long> endedTokens = ended.computeIfAbsent(lease, l -> new HashMap<>());
        endedTokens.put(before.process, before.token);
        Long own = endedTokens.get(process);
        if (own != null && token <= own) {
            violations.add(lease + ": " + process + " acts again with token " + token + " at " + at);
        }
    }

    public long count() {
        return count;
    }

    /** The violations so far. */
    public List<String> violations() {
        return violations;
    }
}
