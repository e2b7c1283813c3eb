package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The highest token of each lease that one grantor knows, and how it learns them again after a restart. Tokens are
 * kept in memory only. A grantor that has restarted asks the others until a quorum of grantors that kept their state
 * has answered, so that each earlier grant is known to one of them; or until all others have answered, whether they
 * kept their state or not. Where neither is possible it may, if the options allow it, begin above a floor that is
 * taken from the wall clock.
 */
final class TokenRecovery {

    /** From one round of questions to the next. */
    static final long QUERY_INTERVAL_MICROS = 200_000;

    /** Leases whose token is kept, at most; this bounds the memory that other processes can claim. */
    private static final int MAX_LEASES = 1_000;
    /** A floor has room for so many bits of tokens until that of the next millisecond. */
    private static final int FLOOR_SHIFT = 20;
    /** The beginning of 2026. */
    private static final long EPOCH_MILLIS = 1_767_225_600_000L;
    /** After so many terms without the others the wall clock is trusted, where the options allow that. */
    private static final int WALL_CLOCK_FALLBACK_TERMS = 5;

    private final InetSocketAddress self;
    /** Lower bound for tokens while those of other grantors are not known completely. */
    private final long tokenFloor;

    private final long fallbackAt;
    private final Map<String, Long> highestTokens = new HashMap<>();
    /** Grantors with their state that have told all their tokens. */
    private final Set<InetSocketAddress> completeSources = new HashSet<>();
    /** Grantors without their state that have told all the same. */
    private final Set<InetSocketAddress> incompleteSources = new HashSet<>();
    /** Pages that each grantor has sent in response to the last question. */
    private final Map<InetSocketAddress, Set<String>> receivedPages = new HashMap<>();
    /** Whether it may grant: it knows the tokens, or has a floor above them. */
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

    /** Appends what decides its further behaviour, for model checkers. */
    void describeState(long now, StateText text, StringBuilder ofGrantor) {
        ofGrantor.append(isFinished).append(isComplete);
        if (!isFinished) {
            ofGrantor
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

    /** Whether the other grantors have to be asked now. */
    boolean startsQuery(long now, LeaseOptions options) {
        if (isFinished || now < nextQueryAt) {
            return false;
        }
        if (options.trustsWallClock() && now >= fallbackAt) {
            // No quorum can be reached: what is left is that wall clocks have gone on.
            isFinished = true;
            return false;
        }
        nextQueryAt = now + QUERY_INTERVAL_MICROS;
        receivedPages.clear();
        return true;
    }

    /** Response to another grantor that asks. */
    List<LeaseMessage> answerQuery(LeaseMessage request, LeaseOptions options) {
        long completeness = isFinished ? LeaseMessage.COMPLETE : LeaseMessage.INCOMPLETE;
        return LeaseMessage.tokenPages(completeness, request, options.grantorSetId(), highestTokens);
    }

    /** A page of the tokens that another process knows. */
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
        // A quorum without this grantor: each earlier grant is known to one of them.
        isComplete = options.isQuorum(completeSources);
        isFinished = isComplete || hasHeardAllOthers(options);
    }

    /** Where all others have answered, nobody knows more than what was told. */
    private boolean hasHeardAllOthers(LeaseOptions options) {
        return options.allGrantors().stream()
                .allMatch(grantor -> grantor.equals(self)
                        || completeSources.contains(grantor)
                        || incompleteSources.contains(grantor));
    }

    /** The highest token of a lease, or a bound above it. */
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
