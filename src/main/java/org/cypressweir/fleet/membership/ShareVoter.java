package org.cypressweir.fleet.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * Counts who may use a part of what all share. Whoever asked is counted for a stated time after the answer,
 * so that it is counted for as long as it may rely on that. Kept in memory: one that starts anew has
 * forgotten whom it counted, and says nothing until nobody can rely on its word of before.
 */
public final class ShareVoter {

    /**
     * What a process is told.
     *
     * @param count of those that are counted here, the asking one among them
     * @param digest the same wherever the same ones are counted
     */
    public record Grant(int count, long digest) {}

    private final long releaseMicros;
    private final long silentUntil;
    private final int most;
    /** In the order of their last questions, which is that of their ends. */
    private final Map<String, Long> countedUntil = new LinkedHashMap<>();

    private long digest;

    /**
     * @param releaseMicros see {@link ShareRequest#release}
     * @param most processes that are counted; further ones are told nothing
     */
    public ShareVoter(long now, long releaseMicros, int most) {
        this.releaseMicros = releaseMicros;
        this.most = most;
        silentUntil = now + releaseMicros;
    }

    /** The same in all that it has heard, for walks over all that may come next. */
    public ShareVoter copy() {
        ShareVoter copy = new ShareVoter(silentUntil - releaseMicros, releaseMicros, most);
        copy.countedUntil.putAll(countedUntil);
        copy.digest = digest;
        return copy;
    }

    /** All that decides what it will say from now on, as text: what is left, not times. */
    public String state(long now) {
        StringBuilder text = new StringBuilder().append(Math.max(0, silentUntil - now));
        countedUntil.forEach((process, until) -> {
            if (until > now) {
                text.append(' ').append(process).append('=').append(until - now);
            }
        });
        return text.toString();
    }

    /** A process asks; null for no answer. */
    public Grant ask(long now, String process) {
        forget(now);
        if (now < silentUntil || countedUntil.size() >= most && !countedUntil.containsKey(process)) {
            return null;
        }
        if (countedUntil.remove(process) == null) {
            digest ^= mark(process);
        }
        countedUntil.put(process, now + releaseMicros);
        return new Grant(countedUntil.size(), digest);
    }

    private void forget(long now) {
        for (Iterator<Map.Entry<String, Long>> all = countedUntil.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<String, Long> first = all.next();
            if (first.getValue() > now) {
                return;
            }
            digest ^= mark(first.getKey());
            all.remove();
        }
    }

    private static long mark(String process) {
        return Hashes.mix(Ids.of(process), 0);
    }
}
