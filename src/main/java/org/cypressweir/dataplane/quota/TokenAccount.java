package org.cypressweir.dataplane.quota;

/**
 * One proxy's tokens of one tenant. The account earns an equal share of the tenant's rate and spends one token for each
 * admitted request. Tokens that the proxy does not need are taken out as surplus for other proxies, and tokens that it
 * needs beyond its own share are added. A token is in one place at any time, so that all accounts together spend no
 * more than they have earned.
 *
 * <p>Not thread-safe. Times are microseconds of one monotonic clock.
 */
final class TokenAccount {

    private static final double MICROS_PER_SECOND = 1e6;

    /** The fraction of the burst that all accounts together keep for requests that arrive at once. */
    private static final double KEPT_BURST_FRACTION = 0.25;

    /** How many seconds of earnings are kept until they are taken as surplus. */
    private static final double SURPLUS_SECONDS = 0.25;

    private TenantLimit limit;
    private int proxyCount;
    private double tokens;
    private long earnedUntil;
    private long admitted;
    private long rejected;

    /** @param tokens the initial number of tokens */
    TokenAccount(long nowMicros, TenantLimit limit, int proxyCount, double tokens) {
        this.limit = limit;
        this.proxyCount = proxyCount;
        this.tokens = tokens;
        earnedUntil = nowMicros;
    }

    /** Applies a changed limit or number of proxies. Tokens beyond what may now be kept are lost. */
    void update(long nowMicros, TenantLimit nextLimit, int nextProxyCount) {
        earn(nowMicros);
        limit = nextLimit;
        proxyCount = nextProxyCount;
        tokens = Math.min(tokens, maxKept());
    }

    boolean isLimited() {
        return limit.isLimited();
    }

    TenantLimit limit() {
        return limit;
    }

    /** This proxy's share of the rate, in requests per second. */
    double ratePerSecond() {
        return limit.ratePerSecond() / proxyCount;
    }

    private double keptBurst() {
        return KEPT_BURST_FRACTION * limit.burst() / proxyCount;
    }

    /** A request needs a whole token, so an account may always save up one. */
    private double maxKept() {
        return 1 + keptBurst() + SURPLUS_SECONDS * ratePerSecond();
    }

    private void earn(long nowMicros) {
        double earned = ratePerSecond() * (nowMicros - earnedUntil) / MICROS_PER_SECOND;
        earnedUntil = nowMicros;
        tokens = Math.max(tokens, Math.min(maxKept(), tokens + earned));
    }

    /** Spends a token for a request, if there is one. */
    boolean trySpend(long nowMicros) {
        if (!limit.isLimited()) {
            admitted++;
            return true;
        }
        earn(nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        admitted++;
        return true;
    }

    void countRejected() {
        rejected++;
    }

    /** Adds tokens that another proxy did not need. */
    void add(long nowMicros, int count) {
        earn(nowMicros);
        tokens += count;
    }

    /** Takes out the whole tokens beyond those that are kept for this proxy's requests. */
    int takeSurplus(long nowMicros) {
        if (!limit.isLimited()) {
            return 0;
        }
        earn(nowMicros);
        int surplus = (int) Math.max(0, tokens - keptBurst());
        tokens -= surplus;
        return surplus;
    }

    double tokens(long nowMicros) {
        earn(nowMicros);
        return tokens;
    }

    /** How long it takes until this account has earned a whole token by itself. */
    long microsUntilToken(long nowMicros) {
        double missing = Math.max(0, 1 - tokens(nowMicros));
        return (long) (missing / ratePerSecond() * MICROS_PER_SECOND);
    }

    long admitted() {
        return admitted;
    }

    long rejected() {
        return rejected;
    }
}
