package org.cypressweir.dataplane.http.upstream;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Ended;

/** The quay's cores with made-up time, and a server in place of its connections. */
public final class SimulatedUpstream implements RequestDispatcher {

    /** A request as the server reads it. */
    public final class Visit {
        public final String head;
        public final String body;
        private final InFlightRequest shipment;
        private boolean over;

        private Visit(InFlightRequest shipment, String bytes) {
            this.shipment = shipment;
            int end = bytes.indexOf("\r\n\r\n") + 4;
            head = bytes.substring(0, end);
            body = bytes.substring(end);
        }

        /** A whole answer comes on its connection; the id is that of whom it is for. */
        public void answers(int status, String id, String answer, Map<String, String> headers) {
            if (over) {
                return;
            }
            List<Map.Entry<String, String>> all = new ArrayList<>(headers.entrySet());
            all.add(Map.entry(RequestEncoder.ATTEMPT_ID, id));
            ResponseVerdict verdict = ResponseVerdict.of(
                    new UpstreamResponse(status, all, answer.getBytes(StandardCharsets.ISO_8859_1), true),
                    shipment,
                    micros.getAsLong(),
                    1_000);
            if (verdict.kind() != ResponseVerdict.Kind.FOREIGN) {
                end(
                        verdict.kind() == ResponseVerdict.Kind.ANSWERED
                                ? Ended.ANSWERED
                                : verdict.kind() == ResponseVerdict.Kind.FULL ? Ended.FULL : Ended.OTHER,
                        verdict.outcome());
            }
        }

        /** Its connection ends. */
        public void breaks() {
            if (!over) {
                end(Ended.OTHER, lost(shipment));
            }
        }

        private void end(Ended how, RequestOutcome outcome) {
            over = true;
            visits.remove(this);
            stevedore.ended(micros.getAsLong(), shipment, how);
            shipment.tell(outcome);
            later.accept(0L, SimulatedUpstream.this::pump);
        }
    }

    /** What is at the other end of the connections. */
    public interface Server {
        /** Whether it takes a connection now. */
        boolean accepts();

        void visited(Visit visit);
    }

    private final LongSupplier micros;
    private final BiConsumer<Long, Runnable> later;
    private final Server server;
    private final RequestScheduler<InFlightRequest> stevedore = new RequestScheduler<>(UpstreamOptions.defaults());
    private final Collection<Visit> visits = new LinkedHashSet<>();
    private long tickAt = Long.MAX_VALUE;

    public SimulatedUpstream(LongSupplier micros, BiConsumer<Long, Runnable> later, int slots, Server server) {
        this.micros = micros;
        this.later = later;
        this.server = server;
        stevedore.life(slots, Long.MIN_VALUE, true);
    }

    private static RequestOutcome lost(InFlightRequest shipment) {
        return shipment.known.lost() == ExecutionKnowledge.UNRUN
                ? new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0)
                : new RequestOutcome.MayHaveRun("lost");
    }

    @Override
    public RequestHandle take(UpstreamRequest freight, Consumer<RequestOutcome> end) {
        InFlightRequest shipment = new InFlightRequest(freight, end);
        refuse(stevedore.arrive(micros.getAsLong(), shipment));
        pump();
        return shipment;
    }

    @Override
    public void cancel(RequestHandle ticket) {
        InFlightRequest shipment = (InFlightRequest) ticket;
        if (stevedore.cancel(shipment)) {
            shipment.tell(new RequestOutcome.NotRun(RejectionReason.CANCELLED, 0));
        } else if (shipment.repeatable) {
            List.copyOf(visits).stream().filter(v -> v.shipment == shipment).forEach(Visit::breaks);
        }
    }

    @Override
    public UpstreamLoad load() {
        return new UpstreamLoad(stevedore.running(), stevedore.waiting().size(), stevedore.slots());
    }

    private void refuse(List<RequestScheduler.Refusal<InFlightRequest>> refusals) {
        refusals.forEach(r -> r.cargo().tell(new RequestOutcome.NotRun(r.reason(), r.retryAfterMicros())));
    }

    private void pump() {
        long now = micros.getAsLong();
        refuse(stevedore.due(now));
        for (Visit visit : List.copyOf(visits)) {
            if (now >= visit.shipment.deadline) {
                visit.breaks();
            }
        }
        while (stevedore.ready(now)) {
            InFlightRequest next = stevedore.next(now);
            if (!server.accepts()) {
                stevedore.ended(now, next, Ended.OTHER);
                next.tell(lost(next));
                continue;
            }
            next.known = ExecutionKnowledge.SENT;
            ByteBuf bytes = RequestEncoder.of(next.freight(), now);
            Visit visit = new Visit(next, bytes.toString(StandardCharsets.ISO_8859_1));
            visits.add(visit);
            server.visited(visit);
        }
        long next = stevedore.nextTime();
        for (Visit visit : visits) {
            next = Math.min(next, visit.shipment.deadline);
        }
        if (next < tickAt) {
            tickAt = next;
            later.accept(Math.max(1, next - now), () -> {
                tickAt = Long.MAX_VALUE;
                pump();
            });
        }
    }
}
