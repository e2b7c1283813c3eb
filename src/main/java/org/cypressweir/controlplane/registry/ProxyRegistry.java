package org.cypressweir.controlplane.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one harbour knows of pilots: what each told on the line that it keeps. A pilot whose line has gone, or
 * on whose line nothing is heard, is taken out after a while; whoever is lost with a harbour tells the next.
 */
public final class ProxyRegistry {

    /** Who was taken out without having said that it leaves. */
    public record Missed(ProxyRegistration berth, long since) {}

    private static final int MOST_MISSED = 256;
    private static final long KEEP_MISSED = 3_600_000_000L;

    private static final class Entry {
        private ProxyRegistration berth;
        private Object line;
        private long lostAt;
    }

    private final long grace;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Missed> missed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Missed> eldest) {
            return size() > MOST_MISSED;
        }
    };

    /** @param graceMicros for which a pilot whose line has gone is still told of */
    public ProxyRegistry(long graceMicros) {
        grace = graceMicros;
    }

    /** A pilot tells of itself on this line; whether that is news. */
    public boolean told(Object line, ProxyRegistration berth) {
        Entry entry = entries.computeIfAbsent(berth.name(), n -> new Entry());
        ProxyRegistration before = entry.berth;
        if (before != null && before.isNewer(berth)) {
            return false;
        }
        boolean news = berth.isNewer(before);
        entry.berth = berth;
        entry.line = line;
        entry.lostAt = 0;
        missed.remove(berth.name());
        return news;
    }

    /** The line is gone, or silent. */
    public void lost(long now, Object line) {
        for (Entry entry : entries.values()) {
            if (entry.line == line && entry.lostAt == 0) {
                entry.lostAt = now;
            }
        }
    }

    /** Something came again on a line that was silent. */
    public void heard(Object line) {
        for (Entry entry : entries.values()) {
            if (entry.line == line) {
                entry.lostAt = 0;
            }
        }
    }

    /** Names that are taken out now. */
    public List<String> sweep(long now) {
        List<String> gone = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (entry.lostAt != 0 && now - entry.lostAt > grace) {
                gone.add(name);
            }
        });
        gone.forEach(name -> remove(now, name));
        missed.values().removeIf(one -> now - one.since > KEEP_MISSED);
        return gone;
    }

    private void remove(long now, String name) {
        ProxyRegistration berth = entries.remove(name).berth;
        if (!berth.leaving()) {
            missed.put(name, new Missed(berth, now));
        }
    }

    /** Who is missed and has not come back; the last of them, each for an hour. */
    public Collection<Missed> missed() {
        return List.copyOf(missed.values());
    }

    public ProxyRegistration get(String name) {
        Entry entry = entries.get(name);
        return entry == null ? null : entry.berth;
    }

    public Collection<ProxyRegistration> all() {
        return entries.values().stream().map(e -> e.berth).toList();
    }

    public int size() {
        return entries.size();
    }
}
