package org.cypressweir.fleet.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A message about leases between two processes.
 *
 * @param lease name of the lease; empty in messages about all leases
 * @param holder incarnation of the process that requests or holds the lease; in {@code LEARNED} the name of the page
 * @param token fencing token of the grant; in a refusal the highest token that the grantor knows; in {@code LEARNED}
 *        {@link #COMPLETE} or {@link #INCOMPLETE}
 * @param requestNumber number of the request, increasing within an incarnation; a response repeats it
 * @param micros the term in a request, the remaining time of another holder's grant in a refusal, the number of
 *        pages in {@code LEARNED}
 * @param grantorSetId set of grantors that the sender uses
 * @param highestTokens in {@code LEARNED} a page of the highest token of each lease
 */
public record LeaseMessage(
        Kind kind,
        String lease,
        String holder,
        long token,
        long requestNumber,
        long micros,
        long grantorSetId,
        Map<String, Long> highestTokens) {

    /** Maximum number of tokens in one message, so that it fits into a datagram. */
    public static final int MAX_TOKENS = 12;

    /** The sender of {@code LEARNED} knows the highest token of each lease it has granted. */
    static final long COMPLETE = 1;
    /** The sender of {@code LEARNED} has lost its state, or is not a grantor. */
    static final long INCOMPLETE = 0;

    /** Purpose of a message. It is sent as its ordinal, so the order is fixed; so are the names. */
    public enum Kind {
        /** Request to a grantor: grant the lease, or renew the grant. */
        ASK,
        /** Response: granted. */
        YES,
        /** Response: refused. */
        NO,
        /** The holder, or a process whose request was not granted by a quorum, releases a grant. */
        FREE,
        /** From a holder that has released the lease to a process that is to request it next. */
        HINT,
        /** Query of a grantor that has lost its state: which tokens does the receiver know? */
        LEARN,
        /** Response to {@link #LEARN}: a page of tokens. */
        LEARNED
    }

    /** A message without tokens. */
    static LeaseMessage of(
            Kind kind, String lease, String holder, long token, long requestNumber, long micros, long grantorSetId) {
        return new LeaseMessage(kind, lease, holder, token, requestNumber, micros, grantorSetId, Map.of());
    }

    /** Responses to a {@code LEARN} request: all tokens in pages, each of which states the number of pages. */
    static List<LeaseMessage> tokenPages(
            long completeness, LeaseMessage request, long grantorSetId, Map<String, Long> highestTokens) {
        List<Map.Entry<String, Long>> all = List.copyOf(new TreeMap<>(highestTokens).entrySet());
        int pageCount = Math.max(1, (all.size() + MAX_TOKENS - 1) / MAX_TOKENS);
        List<LeaseMessage> pages = new ArrayList<>();
        for (int page = 0; page < pageCount; page++) {
            int end = Math.min(all.size(), (page + 1) * MAX_TOKENS);
            Map<String, Long> tokensOfPage = new TreeMap<>();
            all.subList(page * MAX_TOKENS, end).forEach(entry -> tokensOfPage.put(entry.getKey(), entry.getValue()));
            pages.add(new LeaseMessage(
                    Kind.LEARNED,
                    "",
                    page + "/" + pageCount,
                    completeness,
                    request.requestNumber(),
                    pageCount,
                    grantorSetId,
                    tokensOfPage));
        }
        return pages;
    }
}
