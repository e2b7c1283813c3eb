package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.RequestState;

/** One request of a client, from its arrival to its one answer, and all attempts at it. */
final class ProxiedRequest {

    /** One attempt. */
    static final class Try {
        final Endpoint target;
        final long sentAt;
        AttemptTransport.Ride ride;
        RequestOutcome outcome;
        long endedAt;
        /** Its deadline came while it was out. */
        boolean over;

        Try(Endpoint target, long sentAt) {
            this.target = target;
            this.sentAt = sentAt;
        }

        /** In words; null while it is out. */
        private String words() {
            if (outcome instanceof RequestOutcome.Answered a) {
                return over ? "answered late" : a.status() < 500 ? "answered" : "answered an error";
            } else if (outcome instanceof RequestOutcome.NotRun n) {
                return NOT_RUN[n.reason().ordinal()];
            }
            return outcome instanceof RequestOutcome.MayHaveRun m ? m.why() : null;
        }
    }

    private static final String[] NOT_RUN = Arrays.stream(RejectionReason.values())
            .map(reason -> "not run: " + reason.name().toLowerCase(Locale.ROOT).replace('_', ' '))
            .toArray(String[]::new);

    final String number;
    final ServerRequest call;
    final String id;
    final RouteConfiguration route;
    final String tenant;
    final int rank;
    final boolean inner;
    final long arrivedAt;
    final long aimAt;
    final long deadline;
    final List<Map.Entry<String, String>> headers;
    final List<Try> tries = new ArrayList<>(2);
    /** What may still be sent and answered. */
    final RequestState account;
    /** The server's own answer that is no success, kept in case that no other comes. */
    ServerResponse kept;
    /** Where it is kept, once it has ended, which way it went. */
    private final RequestTrace wake;

    private long answeredAt;
    private int status;
    /** What the mesh's own answer says; null for a server's. */
    ErrorKind fault;

    ScheduledFuture<?> atDeadline;
    ScheduledFuture<?> patience;

    ProxiedRequest(
            String number,
            ServerRequest call,
            String id,
            RouteConfiguration route,
            String tenant,
            int rank,
            boolean inner,
            long arrivedAt,
            long aimAt,
            long deadline,
            List<Map.Entry<String, String>> headers,
            RequestTrace wake) {
        this.number = number;
        this.call = call;
        this.id = id;
        this.route = route;
        account = new RequestState(route.repeatable());
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
    void tell(String service, RequestTrace to) {
        to.addRequest(id, call.host(), call.path(), arrivedAt);
        to.setRoute(route.name(), service, tenant);
        if (account.isClosed()) {
            to.setResponse(answeredAt, status, fault);
        }
        for (int i = 0; i < tries.size(); i++) {
            Try one = tries.get(i);
            to.addAttempt(
                    one.target == null ? null : one.target.instance(),
                    one.target == null ? null : one.target.pilot(),
                    one.sentAt,
                    one.endedAt,
                    one.words());
        }
    }

    /** Answers the client, once. */
    void answer(ServerResponse answer) {
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
        answeredAt = wake.nowMicros();
        if (atDeadline != null) {
            atDeadline.cancel(false);
        }
        if (patience != null) {
            patience.cancel(false);
        }
    }
}
