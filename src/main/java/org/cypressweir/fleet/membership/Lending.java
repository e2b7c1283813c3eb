package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
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
 * Lists of servers from one process to another. Whoever starts while discovery is silent asks some members
 * what they have, takes the newest of what they answer, page by page, and goes on asking until discovery has
 * told it something. What a page has in it is nothing to this class.
 */
public final class Lending {

    /** What this process can lend. */
    public interface EndpointListSource {
        /** Of its newest list; below 0 while it has none whole. */
        long revision();

        /** The same also before it can be lent. */
        long known();

        /** Since when it has been the newest here. */
        long ageMicros();

        int pages();

        byte[] page(int number);
    }

    /** A list that was borrowed whole. */
    public record Loan(String from, long revision, long ageMicros, List<byte[]> pages) {}

    /** Pages of a list, at most; so much memory may a lender cost. */
    static final int MOST_PAGES = 4_096;
    /** From the first member that is known to the first question: whoever is met first may know the least. */
    private static final long MEET_MICROS = 150_000;
    /** Members that are asked at a time. */
    private static final int ASKED = 16;
    /** Answers are waited for so long, before the newest is taken. */
    private static final long GATHER_MICROS = 400_000;
    /** From one round of questions to the next; doubled each time, so that a long silence costs little. */
    private static final long ROUND_MICROS = 1_000_000;

    private static final long MOST_ROUND_MICROS = 8_000_000;
    /** A page that has not come by then is asked for again. */
    private static final long AGAIN_MICROS = 200_000;
    /** A lender that has said nothing for so long is left for the next best. */
    private static final long PATIENCE_MICROS = 1_000_000;
    /** Pages that are under way at a time. */
    private static final int WINDOW = 8;
    /** Bytes a second that are lent at most. */
    private static final int LENT = 2_000_000;

    private static final int HEAD = -1;

    private record Offer(Peer from, long revision, int pages, long age) {}

    private final EndpointListSource shelf;
    private final BiConsumer<InetSocketAddress, MembershipMessage> out;
    private final Consumer<Loan> borrowed;
    private final SplittableRandom random;
    private final Allowance lent = new Allowance(LENT);
    private final Map<String, Offer> offers = new HashMap<>();
    /** Lenders that fell silent, or whose list was none. */
    private final Set<String> poor = new HashSet<>();

    private boolean seeking;
    /** Somebody has lent what is newest, or a whole round has found nothing newer. */
    private boolean settled;

    private int asked;
    private long knowsSince = Long.MAX_VALUE;
    /** The revision that this process has; only newer ones are of use. */
    private long known;

    private long number;
    private long gatherUntil = Long.MAX_VALUE;
    private long roundAt;
    private long pause = ROUND_MICROS;
    /** Whose list comes just now; null for nobody's. */
    private Offer lender;

    private byte[][] pages;
    private long[] askedAt;
    private long heardAt;

    public Lending(
            long seed,
            EndpointListSource shelf,
            BiConsumer<InetSocketAddress, MembershipMessage> out,
            Consumer<Loan> borrowed) {
        this.shelf = shelf;
        this.out = out;
        this.borrowed = borrowed;
        random = new SplittableRandom(seed);
        number = random.nextLong(Long.MAX_VALUE / 2);
    }

    /** Looks for a list that is newer than this one. */
    public void seek(long revision) {
        seeking = true;
        known = revision;
    }

    /** Discovery has told this process something itself. */
    public void end() {
        seeking = false;
        lender = null;
        pages = null;
        offers.clear();
        gatherUntil = Long.MAX_VALUE;
    }

    /** Whether the first round is over, with or without a list. */
    public boolean settled() {
        return settled;
    }

    /** What this one lent was no list. */
    public void spoilt(String from) {
        poor.add(from);
    }

    /** To be called each beat; all other members are asked for only when they are needed. */
    public void tick(long now, Peer self, Supplier<List<Peer>> others) {
        if (!seeking) {
            return;
        }
        if (lender != null) {
            fetch(now, self);
        } else if (now >= gatherUntil) {
            gatherUntil = Long.MAX_VALUE;
            choose(now, self);
        } else if (now >= roundAt) {
            ask(now, self, others.get());
        }
    }

    private void ask(long now, Peer self, List<Peer> others) {
        if (others.isEmpty()) {
            return;
        }
        if (knowsSince == Long.MAX_VALUE) {
            knowsSince = now;
        }
        if (now - knowsSince < MEET_MICROS) {
            return;
        }
        roundAt = now + pause;
        pause = Math.min(MOST_ROUND_MICROS, 2 * pause);
        gatherUntil = now + GATHER_MICROS;
        offers.clear();
        number++;
        asked = Math.min(ASKED, others.size());
        List<Peer> some = new ArrayList<>(others);
        Collections.shuffle(some, new Random(random.nextLong()));
        for (Peer p : some.subList(0, asked)) {
            out.accept(p.address(), question(self, p.name(), 0, HEAD));
        }
    }

    private MembershipMessage question(Peer self, String to, long revision, int page) {
        return new MembershipMessage(Kind.BORROW, self, to, number, revision, List.of(), List.of(), List.of(page), "");
    }

    private void choose(long now, Peer self) {
        lender = offers.values().stream()
                .filter(o -> o.revision > known && !poor.contains(o.from.name()))
                .max((a, b) ->
                        a.revision != b.revision ? Long.compare(a.revision, b.revision) : Long.compare(a.age, b.age))
                .orElse(null);
        if (lender == null) {
            // Whoever was silent once may be heard again by the next round.
            poor.clear();
            settled = true;
            return;
        }
        pages = new byte[lender.pages][];
        askedAt = new long[lender.pages];
        Arrays.fill(askedAt, Long.MIN_VALUE / 2);
        heardAt = now;
        fetch(now, self);
        finish(now);
    }

    private void fetch(long now, Peer self) {
        if (now - heardAt > PATIENCE_MICROS) {
            poor.add(lender.from.name());
            choose(now, self);
            return;
        }
        int underWay = 0;
        for (int i = 0; i < pages.length && underWay < WINDOW; i++) {
            if (pages[i] == null) {
                underWay++;
                if (now - askedAt[i] >= AGAIN_MICROS) {
                    askedAt[i] = now;
                    out.accept(lender.from.address(), question(self, lender.from.name(), lender.revision, i));
                }
            }
        }
    }

    /** A question or an answer about lists. */
    public void receive(long now, MembershipMessage m, Peer self) {
        if (!m.to().equals(self.name()) || m.buckets().isEmpty()) {
            return;
        }
        if (m.kind() == Kind.BORROW) {
            lend(now, m, self);
        } else if (seeking && m.number() == number && m.buckets().size() == 3) {
            take(now, m, self);
        }
    }

    private void lend(long now, MembershipMessage m, Peer self) {
        long revision = shelf.revision();
        int page = m.buckets().get(0);
        int all = revision < 0 ? 0 : shelf.pages();
        if (revision < 0 || all > MOST_PAGES || page < HEAD || page >= all) {
            return;
        }
        // A newer list than was asked for is offered instead.
        boolean wanted = page != HEAD && revision == m.digest();
        byte[] load = wanted ? shelf.page(page) : new byte[0];
        if (lent.spend(now, load.length + 100)) {
            out.accept(
                    m.from().address(),
                    new MembershipMessage(
                            Kind.LEND,
                            self,
                            m.from().name(),
                            m.number(),
                            revision,
                            List.of(),
                            List.of(),
                            List.of(wanted ? page : HEAD, all, (int)
                                    Math.min(Integer.MAX_VALUE, shelf.ageMicros() / 1_000)),
                            "",
                            load));
        }
    }

    private void take(long now, MembershipMessage m, Peer self) {
        int page = m.buckets().get(0);
        int all = m.buckets().get(1);
        if (all < 0 || all > MOST_PAGES || page >= all) {
            return;
        }
        if (page == HEAD) {
            Offer offer = new Offer(m.from(), m.digest(), all, m.buckets().get(2) * 1_000L);
            offers.put(m.from().name(), offer);
            if (lender != null && lender.from.name().equals(m.from().name()) && lender.revision != offer.revision) {
                choose(now, self);
            } else if (lender == null && gatherUntil != Long.MAX_VALUE && offers.size() == asked) {
                gatherUntil = Long.MAX_VALUE;
                choose(now, self);
            }
        } else if (lender != null
                && lender.from.name().equals(m.from().name())
                && lender.revision == m.digest()
                && all == pages.length
                && pages[page] == null) {
            pages[page] = m.payload();
            heardAt = now;
            fetch(now, self);
        }
        finish(now);
    }

    /** A list without servers has no pages, and is one all the same. */
    private void finish(long now) {
        if (lender == null || Arrays.asList(pages).contains(null)) {
            return;
        }
        Loan loan = new Loan(lender.from.name(), lender.revision, lender.age, List.of(pages));
        known = loan.revision();
        lender = null;
        pages = null;
        settled = true;
        borrowed.accept(loan);
    }
}
