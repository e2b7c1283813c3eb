package org.cypressweir.sidecar.websocket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Limits the number of open tunnels under each bound, and selects tunnels to evict for a new one: under a bound that
 * is reached, the longest idle tunnel that is not within a message, if it has been idle for long enough. A tunnel
 * counts from when its handshake is requested. Reads no clock: callers pass the time.
 *
 * @param <T> an open tunnel
 */
public final class OpenTunnelLimits<T extends DrainOrder.Drainable> {

    private final Map<Object, Set<Slot>> slotsByKey = new HashMap<>();

    /**
     * An upper limit on a number of tunnels.
     *
     * @param key what is counted: bounds with equal keys are counted together
     */
    public record Bound(Object key, int maxOpen) {}

    /** Counts one tunnel under its bounds until released. */
    public final class Slot {
        private final List<Bound> bounds;
        private T tunnel;

        private Slot(List<Bound> bounds) {
            this.bounds = bounds;
            bounds.forEach(b -> slotsByKey
                    .computeIfAbsent(b.key(), n -> new LinkedHashSet<>())
                    .add(this));
        }

        /** Sets the tunnel that has been opened after its handshake; only now can it be evicted. */
        public void setTunnel(T opened) {
            tunnel = opened;
        }

        /** Stops counting the tunnel; further calls have no effect. */
        public void release() {
            for (Bound b : bounds) {
                Set<Slot> slots = slotsByKey.get(b.key());
                if (slots != null && slots.remove(this) && slots.isEmpty()) {
                    slotsByKey.remove(b.key());
                }
            }
        }
    }

    /**
     * The result of a request for one more tunnel.
     *
     * @param slot null if the tunnel is rejected; then none is evicted
     * @param evicted tunnels that no longer count and must be closed
     */
    public record Decision<T extends DrainOrder.Drainable>(OpenTunnelLimits<T>.Slot slot, List<T> evicted) {}

    /**
     * Requests one more tunnel under these bounds.
     *
     * @param evictMicros how long a tunnel must have been without data to be evicted; 0 for never
     */
    public Decision<T> acquire(List<Bound> bounds, long now, long evictMicros) {
        List<Slot> evicted = new ArrayList<>();
        for (Bound bound : bounds) {
            // A tunnel already selected for eviction may make room under several bounds.
            long alreadyFreed =
                    evicted.stream().filter(p -> countsUnder(p, bound)).count();
            if (count(bound.key()) - alreadyFreed < bound.maxOpen()) {
                continue;
            }
            Slot longestIdle = evictMicros <= 0 ? null : longestIdle(bound, evicted);
            if (longestIdle == null || now - longestIdle.tunnel.lastDataAt() < evictMicros) {
                return new Decision<>(null, List.of());
            }
            evicted.add(longestIdle);
        }
        List<T> evictedTunnels = evicted.stream().map(p -> p.tunnel).toList();
        evicted.forEach(Slot::release);
        return new Decision<>(new Slot(bounds), evictedTunnels);
    }

    private boolean countsUnder(Slot slot, Bound bound) {
        return slotsByKey.getOrDefault(bound.key(), Set.of()).contains(slot);
    }

    private Slot longestIdle(Bound bound, List<Slot> excluded) {
        Slot longestIdle = null;
        for (Slot p : slotsByKey.getOrDefault(bound.key(), Set.of())) {
            if (p.tunnel != null
                    && !p.tunnel.inMessage()
                    && !excluded.contains(p)
                    && (longestIdle == null || p.tunnel.lastDataAt() < longestIdle.tunnel.lastDataAt())) {
                longestIdle = p;
            }
        }
        return longestIdle;
    }

    /** How many tunnels count under a key. */
    public int count(Object key) {
        return slotsByKey.getOrDefault(key, Set.of()).size();
    }
}
