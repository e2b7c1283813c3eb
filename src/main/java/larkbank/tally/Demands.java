package larkbank.tally;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * What tenants ask at each pilot, as the pilots tell it, summed by a harbour. A pilot that is silent counts
 * on for a time with what it told last: it may still let in by it. One whose line was ended does not.
 */
public final class Demands {

    /** For which a silent pilot counts. */
    private static final long SILENT = 8_000_000;
    private static final long ENDED = 500_000;

    private static final class Told {
        private Map<String, Double> asked = Map.of();
        private long until;
    }

    private final Map<String, Told> pilots = new HashMap<>();

    /** A pilot tells, by tenant, how many a second it is asked. */
    public void told(long now, String pilot, Map<?, ?> asked) {
        Told told = pilots.computeIfAbsent(pilot, p -> new Told());
        Map<String, Double> rates = new HashMap<>();
        asked.forEach((tenant, rate) -> {
            if (rate instanceof Number number && number.doubleValue() > 0) {
                rates.put((String) tenant, number.doubleValue());
            }
        });
        told.asked = rates;
        told.until = now + SILENT;
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
        for (Iterator<Told> each = pilots.values().iterator(); each.hasNext();) {
            Told told = each.next();
            if (told.until < now) {
                each.remove();
            } else {
                told.asked.forEach((tenant, rate) -> sums.merge(tenant, rate, Double::sum));
            }
        }
        return sums;
    }
}
