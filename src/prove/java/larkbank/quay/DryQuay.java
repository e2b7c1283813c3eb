package larkbank.quay;

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
import larkbank.quay.Stevedore.Ended;

/** The quay's cores with made-up time, and a server in place of its connections. */
public final class DryQuay implements Dispatcher {

    /** A request as the server reads it. */
    public final class Visit {
        public final String head;
        public final String body;
        private final Shipment shipment;
        private boolean over;

        private Visit(Shipment shipment, String bytes) {
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
            all.add(Map.entry(RequestBytes.ATTEMPT_ID, id));
            AnswerVerdict verdict = AnswerVerdict.of(
                    new ServerAnswer(status, all, answer.getBytes(StandardCharsets.ISO_8859_1), true),
                    shipment,
                    micros.getAsLong(),
                    1_000);
            if (verdict.kind() != AnswerVerdict.Kind.FOREIGN) {
                end(
                        verdict.kind() == AnswerVerdict.Kind.ANSWERED
                                ? Ended.ANSWERED
                                : verdict.kind() == AnswerVerdict.Kind.FULL ? Ended.FULL : Ended.OTHER,
                        verdict.outcome());
            }
        }

        /** Its connection ends. */
        public void breaks() {
            if (!over) {
                end(Ended.OTHER, lost(shipment));
            }
        }

        private void end(Ended how, Outcome outcome) {
            over = true;
            visits.remove(this);
            stevedore.ended(micros.getAsLong(), shipment, how);
            shipment.tell(outcome);
            later.accept(0L, DryQuay.this::pump);
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
    private final Stevedore<Shipment> stevedore = new Stevedore<>(QuayPlan.defaults());
    private final Collection<Visit> visits = new LinkedHashSet<>();
    private long tickAt = Long.MAX_VALUE;

    public DryQuay(LongSupplier micros, BiConsumer<Long, Runnable> later, int slots, Server server) {
        this.micros = micros;
        this.later = later;
        this.server = server;
        stevedore.life(slots, Long.MIN_VALUE, true);
    }

    private static Outcome lost(Shipment shipment) {
        return shipment.known.lost() == Known.UNRUN
                ? new Outcome.NotRun(Reason.NO_CONNECTION, 0)
                : new Outcome.MayHaveRun("lost");
    }

    @Override
    public Ticket take(Freight freight, Consumer<Outcome> end) {
        Shipment shipment = new Shipment(freight, end);
        refuse(stevedore.arrive(micros.getAsLong(), shipment));
        pump();
        return shipment;
    }

    @Override
    public void cancel(Ticket ticket) {
        Shipment shipment = (Shipment) ticket;
        if (stevedore.cancel(shipment)) {
            shipment.tell(new Outcome.NotRun(Reason.CANCELLED, 0));
        } else if (shipment.repeatable) {
            List.copyOf(visits).stream().filter(v -> v.shipment == shipment).forEach(Visit::breaks);
        }
    }

    @Override
    public Load load() {
        return new Load(stevedore.running(), stevedore.waiting().size(), stevedore.slots());
    }

    private void refuse(List<Stevedore.Refusal<Shipment>> refusals) {
        refusals.forEach(r -> r.cargo().tell(new Outcome.NotRun(r.reason(), r.retryAfterMicros())));
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
            Shipment next = stevedore.next(now);
            if (!server.accepts()) {
                stevedore.ended(now, next, Ended.OTHER);
                next.tell(lost(next));
                continue;
            }
            next.known = Known.SENT;
            ByteBuf bytes = RequestBytes.of(next.freight(), now);
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
