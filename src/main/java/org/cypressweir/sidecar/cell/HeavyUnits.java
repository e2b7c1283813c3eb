package org.cypressweir.sidecar.cell;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The units that take the most of a cell, in bounded memory: Space-Saving (Metwally, Agrawal and El Abbadi,
 * 2005) over weights, with all weights fading by half in a given time. A unit whose part is above 1/counters
 * is always among those that are counted; what is told of one is at most the smallest counter too much.
 */
public final class HeavyUnits {

    /** Growing the weight of the new is the same as fading the old; past this all are scaled back. */
    private static final double SCALE_BACK = 1e12;

    private final Map<Long, Integer> at = new HashMap<>();
    private final long[] units;
    private final double[] weights;
    /** What each may have taken over from the one before it in its place. */
    private final double[] errors;

    private final double halfLifeMicros;
    private int used;
    private double total;
    private long scaledAt = Long.MIN_VALUE;
    private double scale = 1;

    /**
     * @param counters 1 or more
     * @param halfLifeMicros above 0
     */
    public HeavyUnits(int counters, long halfLifeMicros) {
        units = new long[counters];
        weights = new double[counters];
        errors = new double[counters];
        this.halfLifeMicros = halfLifeMicros;
    }

    /** Counts so much for a unit; times never go back. */
    public void add(long now, long unit, double weight) {
        fade(now);
        double w = weight * scale;
        total += w;
        Integer known = at.get(unit);
        if (known != null) {
            weights[known] += w;
            return;
        }
        int place = used < units.length ? used++ : least();
        if (at.remove(units[place], place)) {
            errors[place] = weights[place];
        }
        at.put(unit, place);
        units[place] = unit;
        weights[place] += w;
    }

    private int least() {
        int least = 0;
        for (int i = 1; i < used; i++) {
            if (weights[i] < weights[least]) {
                least = i;
            }
        }
        return least;
    }

    /** Counts what another has counted, as it stands there by then, and empties that. */
    void addAll(long now, HeavyUnits other) {
        other.fade(now);
        for (int i = 0; i < other.used; i++) {
            add(now, other.units[i], (other.weights[i] - other.errors[i]) / other.scale);
        }
        other.at.clear();
        other.used = 0;
        other.total = 0;
        Arrays.fill(other.weights, 0);
        Arrays.fill(other.errors, 0);
    }

    /** The part of all that a unit took for certain, 0 to 1. */
    public double share(long unit) {
        Integer place = at.get(unit);
        return place == null || total <= 0 ? 0 : (weights[place] - errors[place]) / total;
    }

    /** The unit that took the most for certain, or -1 where there is none. */
    public long heaviest() {
        int most = -1;
        for (int i = 0; i < used; i++) {
            if (most < 0 || weights[i] - errors[i] > weights[most] - errors[most]) {
                most = i;
            }
        }
        return most < 0 ? -1 : units[most];
    }

    private void fade(long now) {
        if (scaledAt == Long.MIN_VALUE) {
            scaledAt = now;
        }
        scale = Math.exp((now - scaledAt) / halfLifeMicros * Math.log(2));
        if (scale > SCALE_BACK) {
            for (int i = 0; i < used; i++) {
                weights[i] /= scale;
                errors[i] /= scale;
            }
            total /= scale;
            scaledAt = now;
            scale = 1;
        }
    }
}
