package larkbank.pilot;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import larkbank.gangway.Answer;
import larkbank.gangway.Call;
import larkbank.lading.Fault;
import larkbank.logbook.Wake;
import larkbank.manifest.RouteTerms;
import larkbank.quay.Account;
import larkbank.quay.Outcome;
import larkbank.quay.Reason;

/** One request of a client, from its arrival to its one answer, and all attempts at it. */
final class Passage {

    /** One attempt. */
    static final class Try {
        final Target target;
        final long sentAt;
        Carrier.Ride ride;
        Outcome outcome;
        long endedAt;
        /** Its deadline came while it was out. */
        boolean over;

        Try(Target target, long sentAt) {
            this.target = target;
            this.sentAt = sentAt;
        }

        /** In words; null while it is out. */
        private String words() {
            if (outcome instanceof Outcome.Answered a) {
                return over ? "answered late" : a.status() < 500 ? "answered" : "answered an error";
            } else if (outcome instanceof Outcome.NotRun n) {
                return NOT_RUN[n.reason().ordinal()];
            }
            return outcome instanceof Outcome.MayHaveRun m ? m.why() : null;
        }
    }

    private static final String[] NOT_RUN = Arrays.stream(Reason.values())
            .map(reason -> "not run: " + reason.name().toLowerCase(Locale.ROOT).replace('_', ' '))
            .toArray(String[]::new);

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
    /** Where it is kept, once it has ended, which way it went. */
    private final Wake wake;

    private long answeredAt;
    private int status;
    /** What the mesh's own answer says; null for a server's. */
    Fault fault;

    ScheduledFuture<?> atDeadline;
    ScheduledFuture<?> patience;

    Passage(
            String number,
            Call call,
            String id,
            RouteTerms route,
            String tenant,
            int rank,
            boolean inner,
            long arrivedAt,
            long aimAt,
            long deadline,
            List<Map.Entry<String, String>> headers,
            Wake wake) {
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
        this.wake = wake;
    }

    /** Nothing more becomes of it. */
    void ended(String service) {
        tell(service, wake);
    }

    /** Tells which way it went, so far. */
    void tell(String service, Wake to) {
        to.request(id, call.host(), call.path(), arrivedAt);
        to.way(route.name(), service, tenant);
        if (account.isClosed()) {
            to.answer(answeredAt, status, fault);
        }
        for (int i = 0; i < tries.size(); i++) {
            Try one = tries.get(i);
            to.leg(
                    one.target == null ? null : one.target.instance(),
                    one.target == null ? null : one.target.pilot(),
                    one.sentAt,
                    one.endedAt,
                    one.words());
        }
    }

    /** Answers the client, once. */
    void answer(Answer answer) {
        if (account.answer()) {
            end();
            status = answer.status();
            call.answer(answer);
        }
    }

    /** Nothing is owed any more. */
    void left() {
        account.leave();
        end();
    }

    private void end() {
        answeredAt = wake.now();
        if (atDeadline != null) {
            atDeadline.cancel(false);
        }
        if (patience != null) {
            patience.cancel(false);
        }
    }
}
