package larkbank.membership;

import java.util.HashMap;
import java.util.Map;
import larkbank.Hashes;
import larkbank.Ids;

/**
 * Counts who may use a part of what all share. Whoever asked is counted for a stated time after the answer,
 * so that it is counted for as long as it may rely on that. Kept in memory: one that starts anew has
 * forgotten whom it counted, and says nothing until nobody can rely on its word of before.
 */
public final class Elector {

    /**
     * What a process is told.
     *
     * @param count of those that are counted here, the asking one among them
     * @param digest the same wherever the same ones are counted
     */
    public record Grant(int count, long digest) { }

    private final long releaseMicros;
    private final long silentUntil;
    private final int most;
    private final Map<String, Long> countedUntil = new HashMap<>();

    /**
     * @param releaseMicros see {@link Claim#release}
     * @param most processes that are counted; further ones are told nothing
     */
    public Elector(long now, long releaseMicros, int most) {
        this.releaseMicros = releaseMicros;
        this.most = most;
        silentUntil = now + releaseMicros;
    }

    /** A process asks; null for no answer. */
    public Grant ask(long now, String process) {
        countedUntil.values().removeIf(until -> until <= now);
        if (now < silentUntil || countedUntil.size() >= most && !countedUntil.containsKey(process)) {
            return null;
        }
        countedUntil.put(process, now + releaseMicros);
        long digest = 0;
        for (String counted : countedUntil.keySet()) {
            digest ^= Hashes.mix(Ids.of(counted), 0);
        }
        return new Grant(countedUntil.size(), digest);
    }
}
