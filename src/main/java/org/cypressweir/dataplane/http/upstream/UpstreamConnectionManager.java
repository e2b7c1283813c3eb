package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Ended;

/**
 * Brings what is let go onto connections, and what these tell to the end of each request. Nothing new is sent
 * on a connection before the read that brought its last answer is over.
 */
final class UpstreamConnectionManager implements UpstreamConnection.Owner {
    /** After how long the server closes an idle connection, where it does not say. */
    private static final long ASSUMED_IDLE_SECONDS = 8;
    /** Share of that time for which a connection is kept. */
    private static final double IDLE_SHARE = 0.6;

    final RequestScheduler<InFlightRequest> stevedore;
    final UpstreamConnections berths;
    private final IdleConnectionAge lull = new IdleConnectionAge();
    private final EventLoop loop;
    private final LongSupplier micros;
    private final UpstreamOptions plan;
    private final Consumer<String> log;
    private final DeadlineTimer alarm;
    /** Answers that were told while the read that brought them goes on. */
    private int settling;

    private boolean pumping;
    private boolean woken;

    UpstreamConnectionManager(
            EventLoop loop,
            InetSocketAddress application,
            LongSupplier micros,
            UpstreamOptions plan,
            Consumer<String> log) {
        this.loop = loop;
        this.micros = micros;
        this.plan = plan;
        this.log = log;
        stevedore = new RequestScheduler<>(plan);
        berths = new UpstreamConnections(loop, application, plan, this);
        alarm = new DeadlineTimer(loop, micros, this::tick);
    }

    void arrive(InFlightRequest shipment) {
        refuse(stevedore.arrive(micros.getAsLong(), shipment));
        if (settling > 0) {
            wake();
        } else {
            pump();
        }
    }

    /** Does what is due. */
    void tick() {
        long now = micros.getAsLong();
        berths.closeOld(now);
        for (UpstreamConnection berth : berths.busy()) {
            overdue(berth, berth.shipment(), now);
        }
        pump();
    }

    private void overdue(UpstreamConnection berth, InFlightRequest shipment, long now) {
        if (shipment == null) {
            // What was told of another request has ended this one.
            return;
        }
        if (shipment.isOver()) {
            if (now >= shipment.deadline + plan.lingerMicros()) {
                abandon(berth, Ended.OVERDUE, null);
            }
        } else if (now >= sendBy(berth, shipment)
                && !unsend(berth, new RequestOutcome.NotRun(RejectionReason.LATE, 0))
                && now >= shipment.deadline) {
            RequestOutcome outcome = new RequestOutcome.MayHaveRun("deadline");
            if (shipment.repeatable) {
                abandon(berth, Ended.OVERDUE, outcome);
            } else {
                tell(shipment, outcome);
            }
        }
    }

    private static long sendBy(UpstreamConnection berth, InFlightRequest shipment) {
        return berth.isConnecting() ? shipment.deadline - RequestScheduler.MARGIN_MICROS + 1 : shipment.deadline;
    }

    private long nextTime(UpstreamConnection berth) {
        InFlightRequest shipment = berth.shipment();
        return shipment.isOver() ? shipment.deadline + plan.lingerMicros() : sendBy(berth, shipment);
    }

    /** Ends a request that was sent, and its connection. */
    void abandon(UpstreamConnection berth, Ended how, RequestOutcome outcome) {
        berths.free(berth);
        end(berth.abandon(), how, outcome);
    }

    /** Takes a request back of which nothing was sent; false if it may have run. */
    boolean unsend(UpstreamConnection berth, RequestOutcome.NotRun outcome) {
        if (berth.shipment() == null || !berth.isConnecting() && berth.isHanded()) {
            return false;
        }
        berths.free(berth);
        end(berth.isConnecting() ? berth.drop() : berth.abandon(), Ended.OTHER, outcome);
        return true;
    }

    void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            long now = micros.getAsLong();
            refuse(stevedore.due(now));
            spareConnecting(now);
            while (stevedore.ready(now) && letGo(now)) {
                now = micros.getAsLong();
            }
        } finally {
            pumping = false;
        }
        arm();
    }

    /** What waits for a connection to come up takes one that has become idle. */
    private void spareConnecting(long now) {
        for (UpstreamConnection berth : berths.busy()) {
            UpstreamConnection idle = berth.isConnecting() ? pollIdle(now, berth.shipment()) : null;
            if (idle != null) {
                berths.free(berth);
                berths.send(idle, berth.drop(), now);
            }
        }
    }

    /** What can't be repeated takes none that was idle for long while new ones are to be had. */
    private UpstreamConnection pollIdle(long now, InFlightRequest shipment) {
        boolean any = shipment.repeatable || berths.failing(now);
        return berths.pollIdle(now, any ? Long.MAX_VALUE : lull.at(now));
    }

    private boolean letGo(long now) {
        InFlightRequest first = stevedore.first(now);
        UpstreamConnection idle = pollIdle(now, first);
        if (idle != null) {
            berths.send(idle, stevedore.letGo(now, first), now);
        } else if (berths.failing(now)) {
            if (berths.someUp()) {
                return false;
            }
            end(
                    stevedore.letGo(now, first),
                    Ended.OTHER,
                    new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, berths.failingUntil() - now));
        } else if (berths.room()) {
            berths.connect(stevedore.letGo(now, first));
        } else {
            // Its end makes room.
            berths.closeOldest();
            return false;
        }
        return true;
    }

    /** Another server is at the address. */
    void another() {
        lull.forget();
        berths.retire();
    }

    void refuse(List<RequestScheduler.Refusal<InFlightRequest>> refusals) {
        for (RequestScheduler.Refusal<InFlightRequest> r : refusals) {
            tell(r.cargo(), new RequestOutcome.NotRun(r.reason(), r.retryAfterMicros()));
        }
    }

    void end(InFlightRequest shipment, Ended how, RequestOutcome outcome) {
        stevedore.ended(micros.getAsLong(), shipment, how);
        tell(shipment, outcome);
        wake();
    }

    void tell(InFlightRequest shipment, RequestOutcome outcome) {
        try {
            shipment.tell(outcome);
        } catch (RuntimeException e) {
            log.accept("telling the end of " + shipment.freight().id() + " failed: " + e);
        }
    }

    void wake() {
        if (!woken && !loop.isShuttingDown()) {
            woken = true;
            loop.execute(() -> {
                woken = false;
                pump();
            });
        }
    }

    private void arm() {
        long next = Math.min(stevedore.nextTime(), berths.nextOld());
        for (UpstreamConnection berth : berths.busy()) {
            next = Math.min(next, nextTime(berth));
        }
        if (!stevedore.waiting().isEmpty() && berths.failing(micros.getAsLong())) {
            next = Math.min(next, berths.failingUntil());
        }
        alarm.at(next);
    }

    @Override
    public void opened(UpstreamConnection berth) {
        berths.opened();
        long now = micros.getAsLong();
        InFlightRequest shipment = berth.shipment();
        if (shipment == null || berth.isDone() || now + RequestScheduler.MARGIN_MICROS > shipment.deadline) {
            InFlightRequest unsent = berth.drop();
            berths.rest(berth, now, idleUntil(now, ASSUMED_IDLE_SECONDS));
            if (unsent != null) {
                end(
                        unsent,
                        Ended.OTHER,
                        new RequestOutcome.NotRun(berth.isDone() ? RejectionReason.GONE : RejectionReason.LATE, 0));
            }
            wake();
        } else {
            berths.send(berth, shipment, now);
        }
    }

    private long idleUntil(long now, long seconds) {
        return now + (long) (IDLE_SHARE * 1_000_000 * seconds);
    }

    @Override
    public ResponseVerdict answered(UpstreamConnection berth, InFlightRequest shipment, UpstreamResponse answer) {
        long now = micros.getAsLong();
        berth.idleUntil = idleUntil(now, answer.idleSeconds(ASSUMED_IDLE_SECONDS));
        lull.held(berth.wasIdle());
        ResponseVerdict verdict = ResponseVerdict.of(answer, shipment, now, stevedore.retryAfter(shipment));
        if (verdict.kind() == ResponseVerdict.Kind.FOREIGN) {
            log.accept("an answer to another request came in place of that to " + shipment.attemptId);
        }
        return verdict;
    }

    @Override
    public void ended(UpstreamConnection berth, InFlightRequest shipment, ResponseVerdict verdict) {
        settling++;
        berths.free(berth);
        end(
                shipment,
                switch (verdict.kind()) {
                    case ANSWERED -> Ended.ANSWERED;
                    case FULL -> Ended.FULL;
                    default -> Ended.OTHER;
                },
                verdict.outcome());
    }

    @Override
    public void broken(UpstreamConnection berth, InFlightRequest shipment, String why) {
        berths.free(berth);
        long now = micros.getAsLong();
        boolean handed = shipment.known.lost() == ExecutionKnowledge.MAY_HAVE_RUN;
        if (handed && berth.isSilent() && now - shipment.sentAt < IdleConnectionAge.AT_ONCE_MICROS) {
            lull.dropped(now, berth.wasIdle());
        }
        if (handed) {
            log.accept(shipment.attemptId + " may have run: " + why);
        }
        end(
                shipment,
                Ended.OTHER,
                handed
                        ? new RequestOutcome.MayHaveRun(why)
                        : new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0));
    }

    @Override
    public void settled(UpstreamConnection berth, boolean usable) {
        settling--;
        if (usable) {
            berths.rest(berth, micros.getAsLong(), berth.idleUntil);
        }
        wake();
    }

    @Override
    public void down(UpstreamConnection berth, boolean wasUp) {
        long now = micros.getAsLong();
        boolean failed = berths.failing(now);
        berths.down(berth, wasUp, now);
        if (!failed && berths.failing(now)) {
            log.accept("the server takes no connections");
        }
        wake();
    }

    void close() {
        alarm.off();
    }
}
