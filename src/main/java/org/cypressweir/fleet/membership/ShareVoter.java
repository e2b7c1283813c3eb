package org.cypressweir.fleet.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * Counts the processes that may use a share. A process is counted for a fixed time after each response to it, so for
 * at least as long as it may rely on the response. Kept in memory only: a voter that has restarted has lost its count
 * and does not respond until nobody can rely on an earlier response.
 */
public final class ShareVoter {

    /**
     * Response to a process.
     *
     * @param count of the processes counted here, the requesting one among them
     * @param digest the same wherever the same processes are counted
     */
    public record Grant(int count, long digest) {}

    private final long releaseMicros;
    private final long silentUntil;
    private final int maxProcesses;
    /** In the order of the last requests, which is the order of the ends. */
    private final Map<String, Long> countedUntil = new LinkedHashMap<>();

    private long digest;

    /**
     * @param releaseMicros see {@link ShareRequest#releaseMicros}
     * @param maxProcesses processes that are counted; further ones get no response
     */
    public ShareVoter(long now, long releaseMicros, int maxProcesses) {
        this.releaseMicros = releaseMicros;
        this.maxProcesses = maxProcesses;
        silentUntil = now + releaseMicros;
    }

    /** A copy for model checkers. */
    public ShareVoter copy() {
        ShareVoter copy = new ShareVoter(silentUntil - releaseMicros, releaseMicros, maxProcesses);
        copy.countedUntil.putAll(countedUntil);
        copy.digest = digest;
        return copy;
    }

    /** What decides its further behaviour, for model checkers: remaining times instead of points in time. */
    public String describeState(long now) {
        StringBuilder text = new StringBuilder().append(Math.max(0, silentUntil - now));
        countedUntil.forEach((process, until) -> {
            if (until > now) {
                text.append(' ').append(process).append('=').append(until - now);
            }
        });
        return text.toString();
    }

    /** Counts the process that requests it; null for no response. */
    public Grant count(long now, String process) {
        forgetExpired(now);
        if (now < silentUntil || isFull() && !countedUntil.containsKey(process)) {
            return null;
        }
        boolean isNew = countedUntil.remove(process) == null;
        if (isNew) {
            digest ^= hash(process);
        }
        countedUntil.put(process, now + releaseMicros);
        return new Grant(countedUntil.size(), digest);
    }

    private boolean isFull() {
        return countedUntil.size() >= maxProcesses;
    }

    private void forgetExpired(long now) {
        Iterator<Map.Entry<String, Long>> oldestFirst = countedUntil.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Long> oldest = oldestFirst.next();
            if (oldest.getValue() > now) {
                return;
            }
            digest ^= hash(oldest.getKey());
            oldestFirst.remove();
        }
    }

    private static long hash(String process) {
        return Hashes.mix(Ids.of(process), 0);
    }
}
