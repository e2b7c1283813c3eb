package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;

/**
 * Exchanges endpoint lists with other members. A process that starts while discovery does not respond asks some members
 * for the revision of their list, fetches the newest one page by page, and keeps asking until discovery has responded.
 * It also supplies its own list to others. The content of a page is opaque here. Confined to one thread.
 *
 * <p>A round sends requests to some members, collects their offers until all have arrived or a time-out, chooses the
 * newest offer, and fetches its pages with a limited number of outstanding requests. A lender that does not respond is
 * replaced by the one with the next-newest offer.
 */
public final class Lending {

    /** The list that this process can supply to others. */
    public interface EndpointListSource {
        /** Revision of the newest list; negative while that list is not complete. */
        long revision();

        /** Revision of the newest list, complete or not. */
        long knownRevision();

        /** Time for which this has been the newest list of this process, in microseconds. */
        long ageMicros();

        int pages();

        byte[] page(int number);
    }

    /** A complete endpoint list that was fetched from another member. */
    public record Loan(String from, long revision, long ageMicros, List<byte[]> pages) {}

    /** Maximum number of pages of a list; bounds the memory that a lender can make this process allocate. */
    static final int MAX_PAGES = 4_096;
    /**
     * Delay from the first known member to the first requests: the member that is known first may have the oldest list.
     */
    private static final long FIRST_ROUND_DELAY_MICROS = 150_000;
    /** Maximum number of members asked in a round. */
    private static final int MAX_ASKED_MEMBERS = 16;
    /** Time to wait for offers before the newest one is chosen. */
    private static final long OFFER_TIMEOUT_MICROS = 400_000;
    /** Interval between rounds; doubled each time, so that a long outage of discovery causes little traffic. */
    private static final long MIN_ROUND_INTERVAL_MICROS = 1_000_000;

    private static final long MAX_ROUND_INTERVAL_MICROS = 8_000_000;
    /** Time after which a page that has not arrived is requested again. */
    private static final long PAGE_RETRY_MICROS = 200_000;
    /** Time without a new page after which a lender is replaced by the one with the next-newest offer. */
    private static final long LENDER_TIMEOUT_MICROS = 1_000_000;
    /** Maximum number of outstanding page requests. */
    private static final int MAX_OUTSTANDING_REQUESTS = 8;

    private static final int LENT_BYTES_PER_SECOND = 2_000_000;
    /** Size of a message without the page in it, in bytes. */
    private static final int MESSAGE_OVERHEAD_BYTES = 100;
    /** In place of a page number: marks a request for an offer, and the offer. */
    private static final int OFFER = -1;
    /** Count of the numbers in {@code buckets} of a response: page, page count of the list, age in milliseconds. */
    private static final int RESPONSE_FIELD_COUNT = 3;

    private static final int PAGE_FIELD = 0;
    private static final int PAGE_COUNT_FIELD = 1;
    private static final int AGE_MILLIS_FIELD = 2;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long NOT_REQUESTED = Long.MIN_VALUE / 2;

    private record Offer(Peer from, long revision, int pages, long ageMicros) {

        static final Comparator<Offer> NEWEST_LAST =
                Comparator.comparingLong(Offer::revision).thenComparingLong(Offer::ageMicros);

        boolean isFrom(Peer peer) {
            return from.name().equals(peer.name());
        }
    }

    private final EndpointListSource source;
    private final BiConsumer<InetSocketAddress, MembershipMessage> sender;
    private final Consumer<Loan> onBorrowed;
    private final SplittableRandom random;
    private final ByteRateLimiter lendingRateLimiter = new ByteRateLimiter(LENT_BYTES_PER_SECOND);
    private final Map<String, Offer> offers = new HashMap<>();
    /** Lenders that timed out, or whose list was invalid. */
    private final Set<String> excludedLenders = new HashSet<>();

    private boolean isSeeking;
    private boolean hasFinishedFirstRound;
    /** Revision of the list that this process has; only newer lists are fetched. */
    private long knownRevision;

    private int askedMembers;
    private long membersKnownSince = NEVER;
    private long roundNumber;
    private long offersUntil = NEVER;
    private long nextRoundAt;
    private long roundIntervalMicros = MIN_ROUND_INTERVAL_MICROS;
    /** The offer whose pages are being fetched; null for none. */
    private Offer currentOffer;

    private byte[][] pages;
    private long[] pageRequestedAt;
    private long lastPageAt;

    /** @param onBorrowed receives each list once it is complete */
    public Lending(
            long seed,
            EndpointListSource source,
            BiConsumer<InetSocketAddress, MembershipMessage> sender,
            Consumer<Loan> onBorrowed) {
        this.source = source;
        this.sender = sender;
        this.onBorrowed = onBorrowed;
        random = new SplittableRandom(seed);
        roundNumber = random.nextLong(Long.MAX_VALUE / 2);
    }

    /** Starts seeking a list that is newer than this revision. */
    public void startSeeking(long revision) {
        isSeeking = true;
        knownRevision = revision;
    }

    /** Stops seeking, because discovery has responded. */
    public void stopSeeking() {
        isSeeking = false;
        currentOffer = null;
        pages = null;
        offers.clear();
        offersUntil = NEVER;
    }

    /** Whether the first round is over, with or without a list. */
    public boolean hasFinishedFirstRound() {
        return hasFinishedFirstRound;
    }

    /** Excludes a lender whose list was invalid. */
    public void exclude(String lenderName) {
        excludedLenders.add(lenderName);
    }

    /**
     * Performs the actions that are due; must be called regularly.
     *
     * @param others all other members; evaluated only when they are needed
     */
    public void tick(long now, Peer self, Supplier<List<Peer>> others) {
        if (!isSeeking) {
            return;
        }
        if (currentOffer != null) {
            fetchPages(now, self);
        } else if (now >= offersUntil) {
            offersUntil = NEVER;
            chooseLender(now, self);
        } else if (now >= nextRoundAt) {
            startRound(now, self, others.get());
        }
    }

    private void startRound(long now, Peer self, List<Peer> others) {
        if (others.isEmpty()) {
            return;
        }
        membersKnownSince = Math.min(membersKnownSince, now);
        if (now - membersKnownSince < FIRST_ROUND_DELAY_MICROS) {
            return;
        }
        nextRoundAt = now + roundIntervalMicros;
        roundIntervalMicros = Math.min(MAX_ROUND_INTERVAL_MICROS, 2 * roundIntervalMicros);
        offersUntil = now + OFFER_TIMEOUT_MICROS;
        offers.clear();
        roundNumber++;
        askedMembers = Math.min(MAX_ASKED_MEMBERS, others.size());
        List<Peer> shuffled = new ArrayList<>(others);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        for (Peer member : shuffled.subList(0, askedMembers)) {
            sendRequest(self, member, 0, OFFER);
        }
    }

    private void sendRequest(Peer self, Peer to, long revision, int page) {
        MembershipMessage request = new MembershipMessage(
                Kind.BORROW, self, to.name(), roundNumber, revision, List.of(), List.of(), List.of(page), "");
        sender.accept(to.address(), request);
    }

    private void chooseLender(long now, Peer self) {
        currentOffer = offers.values().stream()
                .filter(offer -> offer.revision > knownRevision)
                .filter(offer -> !excludedLenders.contains(offer.from.name()))
                .max(Offer.NEWEST_LAST)
                .orElse(null);
        if (currentOffer == null) {
            // A lender that timed out may respond in the next round.
            excludedLenders.clear();
            hasFinishedFirstRound = true;
            return;
        }
        pages = new byte[currentOffer.pages][];
        pageRequestedAt = new long[currentOffer.pages];
        Arrays.fill(pageRequestedAt, NOT_REQUESTED);
        lastPageAt = now;
        fetchPages(now, self);
        finishIfComplete();
    }

    private void fetchPages(long now, Peer self) {
        if (now - lastPageAt > LENDER_TIMEOUT_MICROS) {
            excludedLenders.add(currentOffer.from.name());
            chooseLender(now, self);
            return;
        }
        int outstanding = 0;
        for (int page = 0; page < pages.length && outstanding < MAX_OUTSTANDING_REQUESTS; page++) {
            if (pages[page] != null) {
                continue;
            }
            outstanding++;
            if (now - pageRequestedAt[page] >= PAGE_RETRY_MICROS) {
                pageRequestedAt[page] = now;
                sendRequest(self, currentOffer.from, currentOffer.revision, page);
            }
        }
    }

    /** Handles a request or a response about endpoint lists. */
    public void receive(long now, MembershipMessage message, Peer self) {
        if (!message.to().equals(self.name()) || message.buckets().isEmpty()) {
            return;
        }
        if (message.kind() == Kind.BORROW) {
            respond(now, message, self);
        } else if (isSeeking
                && message.number() == roundNumber
                && message.buckets().size() == RESPONSE_FIELD_COUNT) {
            receiveResponse(now, message, self);
        }
    }

    private void respond(long now, MembershipMessage request, Peer self) {
        long revision = source.revision();
        if (revision < 0) {
            return;
        }
        int page = request.buckets().get(PAGE_FIELD);
        int pageCount = source.pages();
        if (pageCount > MAX_PAGES || page < OFFER || page >= pageCount) {
            return;
        }
        // If this process has another revision than the requested one, it offers that instead.
        boolean isPage = page != OFFER && revision == request.digest();
        byte[] payload = isPage ? source.page(page) : new byte[0];
        if (!lendingRateLimiter.tryAcquire(now, payload.length + MESSAGE_OVERHEAD_BYTES)) {
            return;
        }
        int ageMillis = (int) Math.min(Integer.MAX_VALUE, source.ageMicros() / 1_000);
        List<Integer> numbers = List.of(isPage ? page : OFFER, pageCount, ageMillis);
        Peer to = request.from();
        MembershipMessage response = new MembershipMessage(
                Kind.LEND, self, to.name(), request.number(), revision, List.of(), List.of(), numbers, "", payload);
        sender.accept(to.address(), response);
    }

    private void receiveResponse(long now, MembershipMessage response, Peer self) {
        int page = response.buckets().get(PAGE_FIELD);
        int pageCount = response.buckets().get(PAGE_COUNT_FIELD);
        if (pageCount < 0 || pageCount > MAX_PAGES || page >= pageCount) {
            return;
        }
        if (page == OFFER) {
            receiveOffer(now, response, self);
        } else if (isMissingPage(response, page, pageCount)) {
            pages[page] = response.payload();
            lastPageAt = now;
            fetchPages(now, self);
        }
        finishIfComplete();
    }

    private boolean isMissingPage(MembershipMessage response, int page, int pageCount) {
        return currentOffer != null
                && currentOffer.isFrom(response.from())
                && currentOffer.revision == response.digest()
                && pageCount == pages.length
                && pages[page] == null;
    }

    private void receiveOffer(long now, MembershipMessage response, Peer self) {
        long ageMicros = response.buckets().get(AGE_MILLIS_FIELD) * 1_000L;
        int pageCount = response.buckets().get(PAGE_COUNT_FIELD);
        Offer offer = new Offer(response.from(), response.digest(), pageCount, ageMicros);
        offers.put(response.from().name(), offer);
        boolean hasLenderChanged =
                currentOffer != null && currentOffer.isFrom(response.from()) && currentOffer.revision != offer.revision;
        boolean isLastOffer = currentOffer == null && offersUntil != NEVER && offers.size() == askedMembers;
        if (isLastOffer) {
            offersUntil = NEVER;
        }
        if (hasLenderChanged || isLastOffer) {
            chooseLender(now, self);
        }
    }

    /**
     * Delivers the list if all its pages have arrived. A list without endpoints has no pages and is complete at once.
     */
    private void finishIfComplete() {
        if (currentOffer == null || Arrays.asList(pages).contains(null)) {
            return;
        }
        Loan loan = new Loan(currentOffer.from.name(), currentOffer.revision, currentOffer.ageMicros, List.of(pages));
        knownRevision = loan.revision();
        currentOffer = null;
        pages = null;
        hasFinishedFirstRound = true;
        onBorrowed.accept(loan);
    }
}
