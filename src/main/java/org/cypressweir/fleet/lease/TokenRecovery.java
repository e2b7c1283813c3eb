package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The highest token of each lease that one grantor knows, and their recovery after a restart. Tokens are kept in memory
 * only. A grantor that has restarted queries the others until a quorum of grantors that kept their state has responded,
 * so that each earlier grant is known to one of them; or until all others have responded, whether they kept their state
 * or not. Where neither is possible it may, if the options allow it, start above a floor: a lower bound derived from
 * the wall clock.
 */
final class TokenRecovery {

    /** Interval from one round of queries to the next. */
    static final long QUERY_INTERVAL_MICROS = 200_000;

    /** Maximum number of leases whose token is kept; bounds the memory that other processes can make this one use. */
    private static final int MAX_LEASES = 1_000;
    /** Shift from milliseconds to a floor, which leaves 2^20 tokens until the floor of the next millisecond. */
    private static final int FLOOR_SHIFT = 20;
    /** 2026-01-01T00:00:00Z, the origin of floors. */
    private static final long EPOCH_MILLIS = 1_767_225_600_000L;
    /** Wait for the other grantors, in longest terms, before the wall clock is trusted, if the options allow that. */
    private static final int WALL_CLOCK_FALLBACK_TERMS = 5;

    private final InetSocketAddress self;
    /** Lower bound for tokens while those of other grantors are not known completely. */
    private final long tokenFloor;

    private final long fallbackAt;
    private final Map<String, Long> highestTokens = new HashMap<>();
    /** Processes with intact state that have sent all their tokens. */
    private final Set<InetSocketAddress> completeSources = new HashSet<>();
    /** Processes that have lost their state, or are not grantors, and have sent the tokens that they know. */
    private final Set<InetSocketAddress> incompleteSources = new HashSet<>();
    /** Pages that each process has sent in response to the last query. */
    private final Map<InetSocketAddress, Set<String>> receivedPages = new HashMap<>();
    /** Whether it may grant: it knows the tokens, or has a floor that exceeds them. */
    private boolean isFinished;
    /** Whether it knows all tokens and needs no floor. */
    private boolean isComplete;

    private long nextQueryAt;

    /** @param unixMillis wall clock at the start of the process */
    TokenRecovery(LeaseOptions options, InetSocketAddress self, long unixMillis, long startAt) {
        this.self = self;
        tokenFloor = Math.max(0, unixMillis - EPOCH_MILLIS) << FLOOR_SHIFT;
        nextQueryAt = startAt;
        fallbackAt = startAt + WALL_CLOCK_FALLBACK_TERMS * options.maxTermMicros();
    }

    /** A copy for model checkers; without the floor. */
    TokenRecovery copy(LeaseOptions options, long startAt) {
        TokenRecovery copy = new TokenRecovery(options, self, 0, startAt);
        copy.highestTokens.putAll(highestTokens);
        copy.completeSources.addAll(completeSources);
        copy.incompleteSources.addAll(incompleteSources);
        receivedPages.forEach((grantor, pages) -> copy.receivedPages.put(grantor, new HashSet<>(pages)));
        copy.isFinished = isFinished;
        copy.isComplete = isComplete;
        copy.nextQueryAt = nextQueryAt;
        return copy;
    }

    /** Appends the state that determines its further behaviour, for model checkers. */
    void describeState(long now, StateText text, StringBuilder grantorText) {
        grantorText.append(isFinished).append(isComplete);
        if (!isFinished) {
            grantorText
                    .append(text.remaining(now, nextQueryAt))
                    .append(completeSources.size())
                    .append(incompleteSources.size());
        }
    }

    boolean isFinished() {
        return isFinished;
    }

    Collection<Long> tokens() {
        return highestTokens.values();
    }

    /** Starts a round of queries to the other grantors if one is due; returns whether it did. */
    boolean startQueryIfDue(long now, LeaseOptions options) {
        if (isFinished || now < nextQueryAt) {
            return false;
        }
        if (options.trustsWallClock() && now >= fallbackAt) {
            // No quorum can be reached: relies on the wall clock having advanced since the earlier grants.
            isFinished = true;
            return false;
        }
        nextQueryAt = now + QUERY_INTERVAL_MICROS;
        receivedPages.clear();
        return true;
    }

    /** Response to another grantor's query. */
    List<LeaseMessage> answerQuery(LeaseMessage request, LeaseOptions options) {
        long completeness = isFinished ? LeaseMessage.COMPLETE : LeaseMessage.INCOMPLETE;
        return LeaseMessage.tokenPages(completeness, request, options.grantorSetId(), highestTokens);
    }

    /** Records a page of the tokens that another process knows. */
    void learn(InetSocketAddress from, LeaseMessage page, LeaseOptions options) {
        if (isFinished || page.grantorSetId() != options.grantorSetId()) {
            return;
        }
        page.highestTokens().forEach((lease, token) -> highestTokens.merge(lease, token, Math::max));
        Set<String> pages = receivedPages.computeIfAbsent(from, grantor -> new HashSet<>());
        pages.add(page.holder());
        long pageCount = page.micros();
        if (!from.equals(self) && pages.size() >= pageCount) {
            boolean hasState = page.token() == LeaseMessage.COMPLETE;
            (hasState ? completeSources : incompleteSources).add(from);
        }
        // The quorum does not include this grantor; each earlier grant is known to one of its members.
        isComplete = options.isQuorum(completeSources);
        isFinished = isComplete || haveAllOthersResponded(options);
    }

    /** Whether all other grantors have responded, so that none of them knows a further token. */
    private boolean haveAllOthersResponded(LeaseOptions options) {
        return options.allGrantors().stream()
                .allMatch(grantor -> grantor.equals(self)
                        || completeSources.contains(grantor)
                        || incompleteSources.contains(grantor));
    }

    /** The highest known token of a lease, or the floor where that is higher and tokens may be missing. */
    long highestToken(String lease, LeaseOptions options) {
        long known = highestTokens.getOrDefault(lease, 0L);
        return isComplete || !options.trustsWallClock() ? known : Math.max(known, tokenFloor);
    }

    boolean hasRoomFor(String lease) {
        return highestTokens.containsKey(lease) || highestTokens.size() < MAX_LEASES;
    }

    void recordGranted(String lease, long token) {
        highestTokens.put(lease, token);
    }
}
