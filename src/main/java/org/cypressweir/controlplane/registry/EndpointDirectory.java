package org.cypressweir.controlplane.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The other proxies as one proxy knows them: the merged views of all controllers that it is connected to, together with
 * registrations received from proxies directly. A proxy is present if any valid view contains it. The view of a silent
 * controller stays valid for a while, and without limit as long as all controllers are silent: an outage of the whole
 * control plane removes no proxy. Not thread-safe; times are microseconds of one monotonic clock.
 */
public final class EndpointDirectory {

    /** The proxies registered with one controller. */
    private static final class View {
        private final Map<String, ProxyRegistration> registrations = new HashMap<>();
        private boolean alive;
        private long silentSinceMicros;
    }

    private final long silentViewLifetimeMicros;
    private final Map<String, View> views = new HashMap<>();
    private final Map<String, ProxyRegistration> direct = new HashMap<>();
    private Map<String, ProxyRegistration> merged = Map.of();
    /** Whether there has been an update since the last merge. */
    private boolean stale = true;
    /** When the next silent view expires; until then nothing changes merely because time passes. */
    private long nextViewExpiryMicros = Long.MAX_VALUE;

    /** @param silentViewLifetimeMicros how long a silent controller's view stays valid while others are not silent */
    public EndpointDirectory(long silentViewLifetimeMicros) {
        this.silentViewLifetimeMicros = silentViewLifetimeMicros;
    }

    /**
     * A controller has sent its view.
     *
     * @param snapshot whether the view is complete; otherwise it holds what has changed
     * @param removed names of proxies that are no longer registered there
     */
    public void updateView(
            String controller,
            boolean snapshot,
            Collection<ProxyRegistration> registrations,
            Collection<String> removed) {
        View view = views.computeIfAbsent(controller, name -> new View());
        if (snapshot) {
            view.registrations.clear();
        }
        view.alive = true;
        stale = true;
        registrations.forEach(registration -> view.registrations.put(registration.name(), registration));
        removed.forEach(name -> {
            view.registrations.remove(name);
            direct.remove(name);
        });
    }

    /** A proxy has sent its own registration. It does not make the proxy present, but it is preferred if newer. */
    public void updateDirect(ProxyRegistration registration) {
        if (registration.isNewer(direct.get(registration.name()))) {
            direct.put(registration.name(), registration);
            stale = true;
        }
    }

    /** Nothing is received from the controller any more; its view expires after a while. */
    public void markSilent(long nowMicros, String controller) {
        View view = views.get(controller);
        if (view != null && view.alive) {
            view.alive = false;
            view.silentSinceMicros = nowMicros;
            stale = true;
        }
    }

    /** Removes the view of a process that is no longer a controller, unless it is the only view. */
    public void drop(String controller) {
        if (views.size() > 1) {
            views.remove(controller);
            stale = true;
        }
    }

    /** Merges the views for {@link #all} and {@link #get}; returns whether the result has changed. */
    public boolean merge(long nowMicros) {
        if (!stale && nowMicros < nextViewExpiryMicros) {
            return false;
        }
        stale = false;
        Map<String, ProxyRegistration> next = mergeViews(nowMicros);
        next.replaceAll((name, registration) -> newest(direct.get(name), registration));
        boolean changed = !next.equals(merged);
        merged = next;
        return changed;
    }

    private Map<String, ProxyRegistration> mergeViews(long nowMicros) {
        nextViewExpiryMicros = Long.MAX_VALUE;
        boolean anyAlive = views.values().stream().anyMatch(view -> view.alive);
        Map<String, ProxyRegistration> next = new LinkedHashMap<>();
        for (View view : views.values()) {
            boolean retained = nowMicros - view.silentSinceMicros < silentViewLifetimeMicros;
            if (!view.alive && anyAlive && retained) {
                long expiry = view.silentSinceMicros + silentViewLifetimeMicros;
                nextViewExpiryMicros = Math.min(nextViewExpiryMicros, expiry);
            }
            if (view.alive || !anyAlive || retained) {
                for (ProxyRegistration registration : view.registrations.values()) {
                    next.merge(registration.name(), registration, (known, other) -> newest(other, known));
                }
            }
        }
        return next;
    }

    private static ProxyRegistration newest(ProxyRegistration candidate, ProxyRegistration known) {
        return candidate != null && candidate.isNewer(known) ? candidate : known;
    }

    /** The registrations of all proxies present at the last merge. */
    public Collection<ProxyRegistration> all() {
        return List.copyOf(merged.values());
    }

    /** The registration of the named proxy at the last merge; null if it was not present. */
    public ProxyRegistration get(String name) {
        return merged.get(name);
    }

    /** How many proxies were present at the last merge. */
    public int size() {
        return merged.size();
    }
}
