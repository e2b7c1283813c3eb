package org.cypressweir.controlplane.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one pilot knows of all others: the views of the harbours that it hears, and what pilots tell it
 * directly. Who is in any view that is heard is there. A view that is not heard any more counts on for a
 * while, and as long as none is heard: a silent core takes nobody off.
 */
public final class EndpointDirectory {

    private static final class View {
        private final Map<String, ProxyRegistration> berths = new HashMap<>();
        private boolean heard;
        private long lostAt;
    }

    private final long keep;
    private final Map<String, View> views = new HashMap<>();
    private final Map<String, ProxyRegistration> direct = new HashMap<>();
    private Map<String, ProxyRegistration> merged = Map.of();
    /** Something was told since the last merge. */
    private boolean stale = true;
    /** When a silent view stops counting; nothing changes by itself before. */
    private long nextEnd = Long.MAX_VALUE;

    /** @param keepMicros for which the view of a harbour that is silent counts beside others' */
    public EndpointDirectory(long keepMicros) {
        keep = keepMicros;
    }

    /** A harbour tells its whole view, or what has changed in it. */
    public void told(String harbour, boolean whole, Collection<ProxyRegistration> berths, Collection<String> gone) {
        View view = views.computeIfAbsent(harbour, h -> new View());
        if (whole) {
            view.berths.clear();
        }
        view.heard = true;
        stale = true;
        berths.forEach(b -> view.berths.put(b.name(), b));
        gone.forEach(name -> {
            view.berths.remove(name);
            direct.remove(name);
        });
    }

    /** A pilot tells of itself. */
    public void told(ProxyRegistration berth) {
        if (berth.isNewer(direct.get(berth.name()))) {
            direct.put(berth.name(), berth);
            stale = true;
        }
    }

    /** A harbour is not heard any more. */
    public void silent(long now, String harbour) {
        View view = views.get(harbour);
        if (view != null && view.heard) {
            view.heard = false;
            view.lostAt = now;
            stale = true;
        }
    }

    /** A harbour that is none any more. */
    public void drop(String harbour) {
        if (views.size() > 1) {
            views.remove(harbour);
            stale = true;
        }
    }

    /** All that are there, as they were told of last; whether that has changed since the last call. */
    public boolean merge(long now) {
        if (!stale && now < nextEnd) {
            return false;
        }
        stale = false;
        nextEnd = Long.MAX_VALUE;
        boolean any = views.values().stream().anyMatch(v -> v.heard);
        Map<String, ProxyRegistration> next = new LinkedHashMap<>();
        for (View view : views.values()) {
            if (!view.heard && any && now - view.lostAt < keep) {
                nextEnd = Math.min(nextEnd, view.lostAt + keep);
            }
            if (view.heard || !any || now - view.lostAt < keep) {
                view.berths.values().forEach(b -> {
                    if (b.isNewer(next.get(b.name()))) {
                        next.put(b.name(), b);
                    }
                });
            }
        }
        next.replaceAll(
                (name, b) -> direct.containsKey(name) && direct.get(name).isNewer(b) ? direct.get(name) : b);
        boolean changed = !next.equals(merged);
        merged = next;
        return changed;
    }

    public Collection<ProxyRegistration> all() {
        return List.copyOf(merged.values());
    }

    public ProxyRegistration get(String name) {
        return merged.get(name);
    }

    public int size() {
        return merged.size();
    }
}
