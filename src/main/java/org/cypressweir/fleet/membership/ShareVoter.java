package org.cypressweir.fleet.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * Counts the processes that may use a share. A process is counted for a fixed time after each response to it, so for at
 * least as long as it may rely on the response. Counts are kept in memory only: a voter that has restarted has lost
 * them, and does not respond until no process can rely on an earlier response.
 */
public final class ShareVoter {

    /**
     * Response of a voter to a process.
     *
     * @param count number of the processes counted here, including the requesting one
     * @param digest equal in all voters that count the same processes
     */
    public record Grant(int count, long digest) {}

    private final long releaseMicros;
    private final long silentUntil;
    private final int maxProcesses;
    /** In the order of the last requests, which is also the order of expiry. */
    private final Map<String, Long> countedUntil = new LinkedHashMap<>();

    private long digest;

    /**
     * @param releaseMicros see {@link ShareClaim#releaseMicros}
     * @param maxProcesses maximum number of processes that are counted; further ones get no response
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

    /** The state that determines further behaviour, for model checkers: remaining times instead of points in time. */
    public String describeState(long now) {
        StringBuilder text = new StringBuilder().append(Math.max(0, silentUntil - now));
        countedUntil.forEach((process, until) -> {
            if (until > now) {
                text.append(' ').append(process).append('=').append(until - now);
            }
        });
        return text.toString();
    }

    /** Counts the requesting process; returns null if the voter does not respond. */
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
