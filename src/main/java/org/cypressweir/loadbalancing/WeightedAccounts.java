package org.cypressweir.loadbalancing;

import java.util.Arrays;
import java.util.List;

/**
 * Accounts by share: each unit that any account spends credits all accounts in proportion to their shares, so no rate
 * has to be known. An account's credit is updated when it spends, which takes the same time however many there are.
 */
final class WeightedAccounts {

    private final double[] shares;
    private final double[] credit;
    /** The total spent when an account was last updated. */
    private final long[] updatedAt;

    private final double slack;
    private final boolean noShares;
    private long spent;

    /** Creates accounts whose shares may have any sum; the slack bounds an account's credit and debt. */
    WeightedAccounts(List<Double> shares, double slack) {
        double sum = shares.stream().mapToDouble(s -> s).sum();
        this.shares = shares.stream().mapToDouble(s -> sum <= 0 ? 0 : s / sum).toArray();
        this.slack = slack;
        noShares = sum <= 0;
        credit = new double[shares.size()];
        updatedAt = new long[shares.size()];
        Arrays.fill(credit, slack);
    }

    /** Spends one unit and returns whether it was beyond the account's share; never if all shares are 0. */
    boolean spend(int account) {
        if (noShares) {
            return false;
        }
        spent++;
        credit[account] = Math.min(slack, credit[account] + shares[account] * (spent - updatedAt[account]));
        updatedAt[account] = spent;
        boolean beyond = credit[account] < 1;
        credit[account] = Math.max(-slack, credit[account] - 1);
        return beyond;
    }
}
