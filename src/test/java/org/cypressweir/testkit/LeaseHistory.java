package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks a history of acts under leases by one clock: the intervals in which different processes acted under a lease
 * must not overlap, and fencing tokens must rise from one process to the next. Acts are recorded in the order of that
 * clock.
 */
public final class LeaseHistory {

    private record LastAct(String process, long at, long token) {}

    private final Map<String, LastAct> last = new HashMap<>();
    private final Map<String, Map<String, Long>> ended = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long count;

    /** A process acts at that moment. */
    public void act(String lease, String process, long at, long token) {
        count++;
        LastAct before = last.put(lease, new LastAct(process, at, token));
        if (before == null) {
            return;
        }
        if (at < before.at) {
            throw new IllegalArgumentException("not in order");
        }
        if (before.process.equals(process)) {
            if (token < before.token) {
                violations.add(lease + ": " + process + " acts with token " + token + " after " + before.token);
            }
            return;
        }
        if (at == before.at) {
            violations.add(lease + ": " + process + " and " + before.process + " act at once, at " + at);
        }
        if (token <= before.token) {
            violations.add(lease + ": " + process + " has token " + token + " at " + at + ", and " + before.process
                    + " had " + before.token + " before");
        }
        // Whoever was followed by another must not be back under the token that it had.
        Map<String, Long> endedTokens = ended.computeIfAbsent(lease, l -> new HashMap<>());
        endedTokens.put(before.process, before.token);
        Long own = endedTokens.get(process);
        if (own != null && token <= own) {
            violations.add(lease + ": " + process + " is back with token " + token + " at " + at);
        }
    }

    public long count() {
        return count;
    }

    /** What is wrong in it. */
    public List<String> wrong() {
        return violations;
    }
}
