package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * One pilot's part of what tenants may ask. Of a tenant's rate a pilot has the part that it is asked of all,
 * and a little of what nobody asks for; its bucket holds the same part of the burst. Without news for a time
 * it keeps to a smaller part: what others count it for ends, too.
 */
public final class QuotaShares {

    /** Time over which what is asked is counted. */
    private static final double SPAN = 1_000_000;
    /** Of the rate's part, for what others leave; of the burst. */
    private static final double SPARE = 1.4;

    private static final double BURST = 0.8;
    private static final double SCARCE = 0.9;
    private static final double OTHERS = 1.1;
    /** Below this nothing is asked. */
    private static final double LEAST = 0.05;

    private static final long STALE = 3_000_000;
    private static final long FORGOTTEN = 8_000_000;

    /** What is asked is told again once it has changed by this part of it, or of a pilot's part. */
    private static final double NOTED_PART = 0.15;

    private static final double NOTED_SHARE = 0.2;

    private static final class Account {
        private double asked;
        private long askedAt;
        private double rate;
        private double burst;
        private double level;
        private long filledAt = -1;
        private double all;
        /** What this pilot had told when it was told of all: both are of one time. */
        private double told;

        private double ownThen;
        /** All together ask for about as much as there is, or more. */
        private boolean scarce;

        private boolean isScarceNow() {
            return all > SCARCE * rate;
        }
    }

    private final Map<String, Account> accounts = new HashMap<>();
    private Map<String, Map<String, Double>> sums = new HashMap<>();
    private long newsAt;
    private int pilots = 8;

    /** So many pilots are there. */
    public void pilots(int count) {
        pilots = Math.max(1, count);
    }

    /** A harbour's sums of what tenants ask in all, as far as they changed; the largest counts. */
    public void told(long now, String harbour, Map<?, ?> asked) {
        Map<String, Double> its = sums.computeIfAbsent(harbour, h -> new HashMap<>());
        newsAt = now;
        asked.forEach((tenant, rate) -> {
            if (rate instanceof Number number) {
                its.put((String) tenant, number.doubleValue());
                Account account = accounts.get(tenant);
                if (account != null) {
                    if (account.scarce) {
                        refill(now, account);
                    }
                    account.all = most((String) tenant);
                    account.ownThen = account.told;
                }
            }
        });
    }

    /** A harbour that is not heard any more counts no longer. */
    public void silent(String harbour) {
        sums.remove(harbour);
    }

    private double most(String tenant) {
        double most = 0;
        for (Map<String, Double> its : sums.values()) {
            most = Math.max(most, its.getOrDefault(tenant, 0.0));
        }
        return most;
    }

    /** Whether one more of a tenant may be let in; 0, or the time after which to ask again. */
    public long ask(long now, String tenant, double rate, double burst) {
        Account account = accounts.computeIfAbsent(tenant, t -> {
            Account fresh = new Account();
            fresh.all = most(t);
            return fresh;
        });
        account.asked = asked(account, now) + 1;
        account.askedAt = now;
        account.rate = rate;
        account.burst = burst;
        if (rate <= 0) {
            return 0;
        }
        double fill = refill(now, account);
        if (account.level >= 1) {
            account.level--;
            return 0;
        }
        return Math.max(10_000, (long) ((1 - account.level) / Math.max(0.1, fill) * 1e6));
    }

    /** Lets in what has come due, by what was known in that time; how much comes a second. */
    private double refill(long now, Account account) {
        double rate = account.rate;
        double own = asked(account, now) / SPAN * 1e6;
        double part = part(now, account, own);
        double fill = Math.max(
                part * rate, Math.min(rate - OTHERS * Math.max(0, account.all - own), SPARE * part * rate + 1));
        double its = part * account.burst * BURST;
        boolean scarce = account.isScarceNow();
        if (account.filledAt < 0) {
            account.level = scarce ? its : Math.max(1, its);
        } else {
            // What nobody used until now is together more than the burst: each has its part from now on.
            double from = scarce && !account.scarce ? Math.min(account.level, its) : account.level;
            account.level = Math.min(Math.max(1, its), from + fill * (now - account.filledAt) / 1e6);
        }
        account.scarce = scarce;
        account.filledAt = now;
        return fill;
    }

    private double part(long now, Account account, double own) {
        double fair = 1.0 / pilots;
        if (newsAt == 0) {
            return fair / 2;
        }
        // Where more is asked than there is, parts have to be of one time, or they are more than all.
        boolean scarce = account.isScarceNow();
        double its = scarce ? account.ownThen : Math.min(own, 1.25 * account.ownThen + 2);
        double part = account.all <= 0
                ? fair
                : Math.min(1, Math.max(its / Math.max(its, account.all), fair / (scarce ? 16 : 4)));
        long silence = now - newsAt;
        return silence < STALE ? part : silence < FORGOTTEN ? Math.min(part, fair) * 0.7 : Math.min(part, fair) * 0.5;
    }

    private static double asked(Account account, long now) {
        return account.asked * Math.exp(-(now - account.askedAt) / SPAN);
    }

    /** By tenant, how many a second this pilot is asked. */
    public Map<String, Double> asked(long now) {
        Map<String, Double> all = new TreeMap<>();
        accounts.forEach((tenant, account) -> {
            double rate = asked(account, now) / SPAN * 1e6;
            if (rate > LEAST) {
                all.put(tenant, round(rate));
            }
        });
        return all;
    }

    /** What is told the harbours: what has changed since it was told, or all of it; nought for no more. */
    public Map<String, Double> news(long now, boolean all) {
        Map<String, Double> news = new TreeMap<>();
        accounts.forEach((tenant, account) -> {
            double exact = asked(account, now) / SPAN * 1e6;
            double rate = exact > LEAST ? round(exact) : 0;
            double noted = Math.max(NOTED_PART * account.told, NOTED_SHARE * account.rate / pilots);
            if (all ? rate > 0 : Math.abs(rate - account.told) > noted || rate == 0 && account.told > 0) {
                news.put(tenant, rate);
                account.told = rate;
            } else if (all) {
                account.told = 0;
            }
        });
        return news;
    }

    private static double round(double rate) {
        return Math.round(rate * 100) / 100.0;
    }
}
