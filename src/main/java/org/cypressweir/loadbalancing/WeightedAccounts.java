package org.cypressweir.loadbalancing;

import java.util.Arrays;
import java.util.List;

/**
 * Accounts by share: everything that anyone spends fills all accounts by their shares, so no rate has to be
 * known.
 * An account is brought up to date when it is spent from, which costs the same however many there are.
 */
final class WeightedAccounts {

    private final double[] shares;
    private final double[] credit;
    /** How much had been spent in all when an account was last brought up to date. */
    private final long[] filledAt;

    private final double slack;
    private final boolean none;
    private long spent;

    /** With shares of any sum; an account may be ahead or behind by the slack. */
    WeightedAccounts(List<Double> shares, double slack) {
        double sum = shares.stream().mapToDouble(s -> s).sum();
        this.shares = shares.stream().mapToDouble(s -> sum <= 0 ? 0 : s / sum).toArray();
        this.slack = slack;
        none = sum <= 0;
        credit = new double[shares.size()];
        filledAt = new long[shares.size()];
        Arrays.fill(credit, slack);
    }

    /** Spends one of an account; whether that was beyond its share. Where shares are all 0 nothing is. */
    boolean spend(int account) {
        if (none) {
            return false;
        }
        spent++;
        credit[account] = Math.min(slack, credit[account] + shares[account] * (spent - filledAt[account]));
        filledAt[account] = spent;
        boolean beyond = credit[account] < 1;
        credit[account] = Math.max(-slack, credit[account] - 1);
        return beyond;
    }
}
