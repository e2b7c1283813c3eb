package org.cypressweir.sidecar.buffering;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * How much of large requests a process keeps at once. A request is kept whole until it is over, so that it
 * can go out again where its class allows; so its bytes are granted before they are read, and who must
 * wait is not read on. Pure: it says who may go on, and the host does it.
 *
 * <p>Who has something already goes first, the one that asked first before others: what is begun can end and
 * give back. Where all that have something wait for more, none could ever go on: then the one that came last
 * of them is turned away, which harms none, since nothing of it has gone anywhere.
 */
public final class BodyBudget {

    /** The word on a wish. */
    public enum Word {
        GRANTED,
        WAITS,
        REFUSED
    }

    /** What one request has and wishes for. */
    public static final class Share {
        private final long number;
        private final Runnable granted;
        private final Runnable refused;
        private long has;
        private long wants;

        private Share(long number, Runnable granted, Runnable refused) {
            this.number = number;
            this.granted = granted;
            this.refused = refused;
        }

        /** Bytes that it may hold. */
        public long has() {
            return has;
        }

        /** To be run, by the host, once it may go on after having waited. */
        public Runnable granted() {
            return granted;
        }

        /** To be run, by the host, once it will not get what it waits for. */
        public Runnable refused() {
            return refused;
        }
    }

    /** Whom the host has to tell. */
    public record GrantDecisions(List<Share> granted, List<Share> refused) {}

    private final long total;
    private final Set<Share> holders = new LinkedHashSet<>();
    private final Set<Share> waiting = new LinkedHashSet<>();
    private long used;
    private long numbers;

    public BodyBudget(long total) {
        this.total = total;
    }

    public long used() {
        return used;
    }

    public int waiting() {
        return waiting.size();
    }

    /** A request that has nothing yet. */
    public Share share(Runnable granted, Runnable refused) {
        return new Share(++numbers, granted, refused);
    }

    /** Asks for so many bytes more; a share has one wish at a time. */
    public Word ask(Share share, long bytes) {
        if (share.has + bytes > total) {
            return Word.REFUSED;
        }
        share.wants = bytes;
        if (fits(share) && (share.has > 0 || waiting.isEmpty())) {
            grant(share);
            return Word.GRANTED;
        }
        waiting.add(share);
        return Word.WAITS;
    }

    /** A share is over, whatever it had or waited for. */
    public GrantDecisions free(Share share) {
        takeBack(share);
        return settle();
    }

    /**
     * A share has come whole: it has this much, which may be a last read more than it was granted, and wishes
     * for nothing more.
     */
    public GrantDecisions whole(Share share, long bytes) {
        waiting.remove(share);
        holders.add(share);
        used += bytes - share.has;
        share.has = bytes;
        return settle();
    }

    /** What follows from the wishes as they stand; to be called after one had to wait, too. */
    public GrantDecisions settle() {
        List<Share> granted = new ArrayList<>();
        List<Share> refused = new ArrayList<>();
        while (true) {
            Share next = next();
            if (next != null && fits(next)) {
                waiting.remove(next);
                grant(next);
                granted.add(next);
            } else if (next != null && stuck()) {
                Share last = last();
                takeBack(last);
                refused.add(last);
            } else {
                return new GrantDecisions(granted, refused);
            }
        }
    }

    private void takeBack(Share share) {
        used -= share.has;
        share.has = 0;
        holders.remove(share);
        waiting.remove(share);
    }

    private boolean fits(Share share) {
        return used + share.wants <= total;
    }

    private void grant(Share share) {
        used += share.wants;
        share.has += share.wants;
        share.wants = 0;
        holders.add(share);
    }

    /** Who has something goes first; of those the first that fits, lest one large wish hold up all. */
    private Share next() {
        Share first = null;
        for (Share s : waiting) {
            if (s.has > 0 && fits(s)) {
                return s;
            }
            first = first == null || first.has == 0 && s.has > 0 ? s : first;
        }
        return first;
    }

    /** Whether all that have something wait for more. */
    private boolean stuck() {
        return !holders.isEmpty() && waiting.containsAll(holders);
    }

    private Share last() {
        Share last = null;
        for (Share s : holders) {
            last = last == null || s.number > last.number ? s : last;
        }
        return last;
    }
}
