package org.cypressweir.sidecar.websocket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How many connections stay open under each bound, and which of them make room for a new one: of those that
 * count under a bound that is reached and have been without data for long enough, none within a message, the
 * one that has been so for the longest. Handshakes count from when they are asked for. No clock.
 *
 * @param <T> an open connection
 */
public final class OpenTunnelLimits<T extends DrainOrder.Leaver> {

    private final Map<Object, Set<Place>> counted = new HashMap<>();

    /**
     * At most so many.
     *
     * @param name what is counted: equal names are counted together
     */
    public record Bound(Object name, int most) {}

    /** One that counts until it has left. */
    public final class Place {
        private final List<Bound> bounds;
        private T holder;

        private Place(List<Bound> bounds) {
            this.bounds = bounds;
            bounds.forEach(b -> counted.computeIfAbsent(b.name(), n -> new LinkedHashSet<>())
                    .add(this));
        }

        /** The handshake is over: this is open now. */
        public void holds(T open) {
            holder = open;
        }

        /** It counts no longer; a second time means nothing. */
        public void leave() {
            for (Bound b : bounds) {
                Set<Place> same = counted.get(b.name());
                if (same != null && same.remove(this) && same.isEmpty()) {
                    counted.remove(b.name());
                }
            }
        }
    }

    /**
     * What becomes of one more.
     *
     * @param place null where it is refused; then nobody is evicted
     * @param evicted those that count no longer and are to be closed
     */
    public record Entry<T extends DrainOrder.Leaver>(OpenTunnelLimits<T>.Place place, List<T> evicted) {}

    /**
     * Asks for one more under these bounds.
     *
     * @param evictMicros from how long without data an open one may be evicted for it; 0 for never
     */
    public Entry<T> enter(List<Bound> bounds, long now, long evictMicros) {
        List<Place> evicted = new ArrayList<>();
        for (Bound bound : bounds) {
            // One that already goes may make room under several bounds.
            long gone = evicted.stream().filter(p -> counts(p, bound)).count();
            if (count(bound.name()) - gone < bound.most()) {
                continue;
            }
            Place longest = evictMicros <= 0 ? null : longestQuiet(bound, evicted);
            if (longest == null || now - longest.holder.dataAt() < evictMicros) {
                return new Entry<>(null, List.of());
            }
            evicted.add(longest);
        }
        List<T> leaving = evicted.stream().map(p -> p.holder).toList();
        evicted.forEach(Place::leave);
        return new Entry<>(new Place(bounds), leaving);
    }

    private boolean counts(Place place, Bound bound) {
        return counted.getOrDefault(bound.name(), Set.of()).contains(place);
    }

    private Place longestQuiet(Bound bound, List<Place> but) {
        Place longest = null;
        for (Place p : counted.getOrDefault(bound.name(), Set.of())) {
            if (p.holder != null
                    && !p.holder.inMessage()
                    && !but.contains(p)
                    && (longest == null || p.holder.dataAt() < longest.holder.dataAt())) {
                longest = p;
            }
        }
        return longest;
    }

    /** How many count under a name. */
    public int count(Object name) {
        return counted.getOrDefault(name, Set.of()).size();
    }
}
