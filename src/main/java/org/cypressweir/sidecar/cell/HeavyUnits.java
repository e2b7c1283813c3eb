package org.cypressweir.sidecar.cell;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds the heavy hitters among the units of a cell in bounded memory: Space-Saving (Metwally, Agrawal and El Abbadi,
 * 2005) over weights that decay exponentially. A unit whose share is above 1/counters always has a counter. A counter
 * overestimates by at most the smallest counter; shares are given less that error, so they are never too high.
 */
public final class HeavyUnits {

    /** New weights are scaled up instead of decaying old ones; beyond this scale all are scaled back down. */
    private static final double MAX_SCALE = 1e12;

    private final Map<Long, Integer> counterOfUnit = new HashMap<>();
    private final long[] units;
    private final double[] weights;
    /** How much of each weight may belong to units that had the counter before. */
    private final double[] errors;

    private final double halfLifeMicros;
    private int usedCounters;
    private double total;
    private long scaledAt = Long.MIN_VALUE;
    private double scale = 1;

    /**
     * @param counters how many units are counted; 1 or more
     * @param halfLifeMicros time in which weights decay by half; above 0
     */
    public HeavyUnits(int counters, long halfLifeMicros) {
        units = new long[counters];
        weights = new double[counters];
        errors = new double[counters];
        this.halfLifeMicros = halfLifeMicros;
    }

    /** Adds weight to a unit; times must not go back. */
    public void add(long now, long unit, double weight) {
        decay(now);
        double scaledWeight = weight * scale;
        total += scaledWeight;
        Integer existing = counterOfUnit.get(unit);
        if (existing != null) {
            weights[existing] += scaledWeight;
            return;
        }
        int counter = usedCounters < units.length ? usedCounters++ : smallestCounter();
        if (counterOfUnit.remove(units[counter], counter)) {
            errors[counter] = weights[counter];
        }
        counterOfUnit.put(unit, counter);
        units[counter] = unit;
        weights[counter] += scaledWeight;
    }

    private int smallestCounter() {
        int smallest = 0;
        for (int i = 1; i < usedCounters; i++) {
            if (weights[i] < weights[smallest]) {
                smallest = i;
            }
        }
        return smallest;
    }

    /** Adds the weights of another sketch, decayed to now and less their errors, and empties that sketch. */
    void addAll(long now, HeavyUnits other) {
        other.decay(now);
        for (int i = 0; i < other.usedCounters; i++) {
            add(now, other.units[i], (other.weights[i] - other.errors[i]) / other.scale);
        }
        other.counterOfUnit.clear();
        other.usedCounters = 0;
        other.total = 0;
        Arrays.fill(other.weights, 0);
        Arrays.fill(other.errors, 0);
    }

    /** The share of the total weight that a unit certainly has, 0 to 1. */
    public double share(long unit) {
        Integer counter = counterOfUnit.get(unit);
        return counter == null || total <= 0 ? 0 : (weights[counter] - errors[counter]) / total;
    }

    /** The unit that certainly has the most weight; -1 if there is none. */
    public long heaviest() {
        int heaviest = -1;
        for (int i = 0; i < usedCounters; i++) {
            if (heaviest < 0 || weights[i] - errors[i] > weights[heaviest] - errors[heaviest]) {
                heaviest = i;
            }
        }
        return heaviest < 0 ? -1 : units[heaviest];
    }

    private void decay(long now) {
        if (scaledAt == Long.MIN_VALUE) {
            scaledAt = now;
        }
        scale = Math.exp((now - scaledAt) / halfLifeMicros * Math.log(2));
        if (scale > MAX_SCALE) {
            for (int i = 0; i < usedCounters; i++) {
                weights[i] /= scale;
                errors[i] /= scale;
            }
            total /= scale;
            scaledAt = now;
            scale = 1;
        }
    }
}
