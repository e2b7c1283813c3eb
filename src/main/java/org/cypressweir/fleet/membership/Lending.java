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
 * Endpoint lists supplied by other members. A process that starts while discovery does not respond asks some members
 * for the revision of their list, fetches the newest one page by page, and goes on asking until discovery has
 * responded. The content of a page is opaque here. Confined to one thread.
 *
 * <p>A round: requests to some members, their offers for some time or until all have arrived, the choice of the newest
 * offer, the fetch of its pages with a window. A lender that does not respond is replaced by the next best.
 */
public final class Lending {

    /** The list that this process can supply to others. */
    public interface EndpointListSource {
        /** Revision of its newest list; below 0 while it has none that is complete. */
        long revision();

        /** The same also while the list is not complete. */
        long known();

        /** For how long this has been the newest list here. */
        long ageMicros();

        int pages();

        byte[] page(int number);
    }

    /** A complete list of another member. */
    public record Loan(String from, long revision, long ageMicros, List<byte[]> pages) {}

    /** Pages of a list at most; this bounds the memory that a lender can claim. */
    static final int MAX_PAGES = 4_096;
    /** From the first member known to the first requests: the member that is met first may know the least. */
    private static final long FIRST_ROUND_DELAY_MICROS = 150_000;
    /** Members that are asked in a round. */
    private static final int ASKED_MEMBERS = 16;
    /** Time for offers before the newest is chosen. */
    private static final long OFFER_TIMEOUT_MICROS = 400_000;
    /** From one round to the next; doubled each time, so that a long outage of discovery costs little. */
    private static final long MIN_ROUND_MICROS = 1_000_000;

    private static final long MAX_ROUND_MICROS = 8_000_000;
    /** A page that has not arrived by then is requested again. */
    private static final long PAGE_RETRY_MICROS = 200_000;
    /** A lender that has sent nothing for so long is replaced by the next best. */
    private static final long LENDER_TIMEOUT_MICROS = 1_000_000;
    /** Pages under way at a time. */
    private static final int PAGE_WINDOW = 8;

    private static final int LENT_BYTES_PER_SECOND = 2_000_000;
    /** Size of a message besides the page in it. */
    private static final int MESSAGE_BYTES = 100;
    /** In place of the number of a page: a request for an offer, and the offer. */
    private static final int OFFER = -1;
    /** Numbers in the buckets of a response: page, pages of the list, age in milliseconds. */
    private static final int RESPONSE_NUMBERS = 3;

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
    private final Allowance lendingAllowance = new Allowance(LENT_BYTES_PER_SECOND);
    private final Map<String, Offer> offers = new HashMap<>();
    /** Lenders that timed out, or whose list was invalid. */
    private final Set<String> excludedLenders = new HashSet<>();

    private boolean isSeeking;
    private boolean hasFinishedFirstRound;
    /** The revision that this process has; only newer ones are of use. */
    private long knownRevision;

    private int askedMembers;
    private long membersKnownSince = NEVER;
    private long roundNumber;
    private long offersUntil = NEVER;
    private long nextRoundAt;
    private long roundIntervalMicros = MIN_ROUND_MICROS;
    /** The list that is being fetched; null for none. */
    private Offer lender;

    private byte[][] pages;
    private long[] pageRequestedAt;
    private long lastPageAt;

    /** @param onBorrowed receives a list when it is complete */
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

    /** Seeks a list that is newer than this revision. */
    public void seek(long revision) {
        isSeeking = true;
        knownRevision = revision;
    }

    /** Discovery has responded. */
    public void end() {
        isSeeking = false;
        lender = null;
        pages = null;
        offers.clear();
        offersUntil = NEVER;
    }

    /** Whether the first round is over, with or without a list. */
    public boolean hasFinishedFirstRound() {
        return hasFinishedFirstRound;
    }

    /** The list of this lender was invalid. */
    public void exclude(String lenderName) {
        excludedLenders.add(lenderName);
    }

    /**
     * Does what is due; called regularly.
     *
     * @param others all other members, asked for only when they are needed
     */
    public void tick(long now, Peer self, Supplier<List<Peer>> others) {
        if (!isSeeking) {
            return;
        }
        if (lender != null) {
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
        roundIntervalMicros = Math.min(MAX_ROUND_MICROS, 2 * roundIntervalMicros);
        offersUntil = now + OFFER_TIMEOUT_MICROS;
        offers.clear();
        roundNumber++;
        askedMembers = Math.min(ASKED_MEMBERS, others.size());
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
        lender = offers.values().stream()
                .filter(offer -> offer.revision > knownRevision)
                .filter(offer -> !excludedLenders.contains(offer.from.name()))
                .max(Offer.NEWEST_LAST)
                .orElse(null);
        if (lender == null) {
            // A lender that timed out may respond in the next round.
            excludedLenders.clear();
            hasFinishedFirstRound = true;
            return;
        }
        pages = new byte[lender.pages][];
        pageRequestedAt = new long[lender.pages];
        Arrays.fill(pageRequestedAt, NOT_REQUESTED);
        lastPageAt = now;
        fetchPages(now, self);
        finishIfComplete();
    }

    private void fetchPages(long now, Peer self) {
        if (now - lastPageAt > LENDER_TIMEOUT_MICROS) {
            excludedLenders.add(lender.from.name());
            chooseLender(now, self);
            return;
        }
        int underWay = 0;
        for (int page = 0; page < pages.length && underWay < PAGE_WINDOW; page++) {
            if (pages[page] != null) {
                continue;
            }
            underWay++;
            if (now - pageRequestedAt[page] >= PAGE_RETRY_MICROS) {
                pageRequestedAt[page] = now;
                sendRequest(self, lender.from, lender.revision, page);
            }
        }
    }

    /** A request or a response about lists. */
    public void receive(long now, MembershipMessage message, Peer self) {
        if (!message.to().equals(self.name()) || message.buckets().isEmpty()) {
            return;
        }
        if (message.kind() == Kind.BORROW) {
            respond(now, message, self);
        } else if (isSeeking
                && message.number() == roundNumber
                && message.buckets().size() == RESPONSE_NUMBERS) {
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
        // Where this process has another revision than requested it offers that instead.
        boolean isPage = page != OFFER && revision == request.digest();
        byte[] payload = isPage ? source.page(page) : new byte[0];
        if (!lendingAllowance.spend(now, payload.length + MESSAGE_BYTES)) {
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
        return lender != null
                && lender.isFrom(response.from())
                && lender.revision == response.digest()
                && pageCount == pages.length
                && pages[page] == null;
    }

    private void receiveOffer(long now, MembershipMessage response, Peer self) {
        long ageMicros = response.buckets().get(AGE_MILLIS_FIELD) * 1_000L;
        int pageCount = response.buckets().get(PAGE_COUNT_FIELD);
        Offer offer = new Offer(response.from(), response.digest(), pageCount, ageMicros);
        offers.put(response.from().name(), offer);
        boolean hasLenderChanged =
                lender != null && lender.isFrom(response.from()) && lender.revision != offer.revision;
        boolean isLastOffer = lender == null && offersUntil != NEVER && offers.size() == askedMembers;
        if (isLastOffer) {
            offersUntil = NEVER;
        }
        if (hasLenderChanged || isLastOffer) {
            chooseLender(now, self);
        }
    }

    /** A list without endpoints has no pages and is complete at once. */
    private void finishIfComplete() {
        if (lender == null || Arrays.asList(pages).contains(null)) {
            return;
        }
        Loan loan = new Loan(lender.from.name(), lender.revision, lender.ageMicros, List.of(pages));
        knownRevision = loan.revision();
        lender = null;
        pages = null;
        hasFinishedFirstRound = true;
        onBorrowed.accept(loan);
    }
}
