package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * What tenants ask at each pilot, as the pilots tell it, summed by a harbour. A pilot that is silent counts
 * on for a time with what it told last: it may still let in by it. One whose line was ended does not.
 */
public final class DemandAggregator {

    /** For which a silent pilot counts. */
    private static final long SILENT = 8_000_000;

    private static final long ENDED = 500_000;

    /** A sum is told again once it has changed by so much, and by this part of it. */
    private static final double NOTED = 0.5;

    private static final double NOTED_PART = 0.05;

    private static final class Told {
        private final Map<String, Double> asked = new HashMap<>();
        private long until;
    }

    private final Map<String, Told> pilots = new HashMap<>();
    /** What was told of the sums last. */
    private final Map<String, Double> told = new HashMap<>();

    /**
     * A pilot tells, by tenant, how many a second it is asked.
     *
     * @param whole whether these are all; else others stand as they were
     */
    public void told(long now, String pilot, Map<?, ?> asked, boolean whole) {
        Told its = pilots.computeIfAbsent(pilot, p -> new Told());
        if (whole) {
            its.asked.clear();
        }
        asked.forEach((tenant, rate) -> {
            if (rate instanceof Number number && number.doubleValue() > 0) {
                its.asked.put((String) tenant, number.doubleValue());
            } else {
                its.asked.remove(tenant);
            }
        });
        its.until = now + SILENT;
    }

    /** A pilot's line was ended. */
    public void ended(long now, String pilot) {
        Told told = pilots.get(pilot);
        if (told != null) {
            told.until = Math.min(told.until, now + ENDED);
        }
    }

    /** By tenant, how many a second are asked in all. */
    public Map<String, Double> sums(long now) {
        Map<String, Double> sums = new TreeMap<>();
        for (Iterator<Told> each = pilots.values().iterator(); each.hasNext(); ) {
            Told told = each.next();
            if (told.until < now) {
                each.remove();
            } else {
                told.asked.forEach((tenant, rate) -> sums.merge(tenant, rate, Double::sum));
            }
        }
        return sums;
    }

    /** Those sums that have changed since they were told, or all of them; nought for who asks no more. */
    public Map<String, Double> news(long now, boolean all) {
        Map<String, Double> sums = sums(now);
        Map<String, Double> news = new TreeMap<>();
        sums.forEach((tenant, rate) -> {
            double before = told.getOrDefault(tenant, 0.0);
            if (all || Math.abs(rate - before) > Math.max(NOTED, NOTED_PART * before)) {
                news.put(tenant, Math.round(rate * 100) / 100.0);
            }
        });
        told.keySet().forEach(tenant -> {
            if (!sums.containsKey(tenant)) {
                news.put(tenant, 0.0);
            }
        });
        told.putAll(news);
        told.values().removeIf(rate -> rate == 0);
        return news;
    }
}
