package larkbank.pilot;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import larkbank.gangway.Answer;
import larkbank.gangway.Call;
import larkbank.manifest.RouteTerms;
import larkbank.quay.Account;

/** One request of a client, from its arrival to its one answer, and all attempts at it. */
final class Passage {

    /** One attempt. */
    static final class Try {
        final Target target;
        final long sentAt;
        Carrier.Ride ride;
        /** Its deadline came while it was out. */
        boolean over;

        Try(Target target, long sentAt) {
            this.target = target;
            this.sentAt = sentAt;
        }
    }

    final String number;
    final Call call;
    final String id;
    final RouteTerms route;
    final String tenant;
    final int rank;
    final boolean inner;
    final long arrivedAt;
    final long aimAt;
    final long deadline;
    final List<Map.Entry<String, String>> headers;
    final List<Try> tries = new ArrayList<>(2);
    /** What may still be sent and answered. */
    final Account account;
    /** The server's own answer that is no success, kept in case that no other comes. */
    Answer kept;
    ScheduledFuture<?> atDeadline;
    ScheduledFuture<?> patience;

    Passage(String number, Call call, String id, RouteTerms route, String tenant, int rank,
            boolean inner, long arrivedAt, long aimAt, long deadline,
            List<Map.Entry<String, String>> headers) {
        this.number = number;
        this.call = call;
        this.id = id;
        this.route = route;
        account = new Account(route.repeatable());
        this.tenant = tenant;
        this.rank = rank;
        this.inner = inner;
        this.arrivedAt = arrivedAt;
        this.aimAt = aimAt;
        this.deadline = deadline;
        this.headers = headers;
    }

    /** Answers the client, once. */
    void answer(Answer answer) {
        if (account.answer()) {
            end();
            call.answer(answer);
        }
    }

    /** Nothing is owed any more. */
    void left() {
        account.leave();
        end();
    }

    private void end() {
        if (atDeadline != null) {
            atDeadline.cancel(false);
        }
        if (patience != null) {
            patience.cancel(false);
        }
    }
}
