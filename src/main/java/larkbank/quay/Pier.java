package larkbank.quay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import larkbank.quay.Stevedore.Ended;

/**
 * Brings what is let go onto connections, and what these tell to the end of each request. Nothing new is sent
 * on a connection before the read that brought its last answer is over.
 */
final class Pier implements ServerConnection.Owner {
    /** After how long the server closes an idle connection, where it does not say. */
    private static final long ASSUMED_IDLE_SECONDS = 8;
    /** Share of that time for which a connection is kept. */
    private static final double IDLE_SHARE = 0.6;

    final Stevedore<Shipment> stevedore;
    final ServerConnections berths;
    private final Lull lull = new Lull();
    private final EventLoop loop;
    private final LongSupplier micros;
    private final QuayPlan plan;
    private final Consumer<String> log;
    private final Alarm alarm;
    /** Answers that were told while the read that brought them goes on. */
    private int settling;

    private boolean pumping;
    private boolean woken;

    Pier(EventLoop loop, InetSocketAddress application, LongSupplier micros, QuayPlan plan, Consumer<String> log) {
        this.loop = loop;
        this.micros = micros;
        this.plan = plan;
        this.log = log;
        stevedore = new Stevedore<>(plan);
        berths = new ServerConnections(loop, application, plan, this);
        alarm = new Alarm(loop, micros, this::tick);
    }

    void arrive(Shipment shipment) {
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
        for (ServerConnection berth : berths.busy()) {
            overdue(berth, berth.shipment(), now);
        }
        pump();
    }

    private void overdue(ServerConnection berth, Shipment shipment, long now) {
        if (shipment == null) {
            // What was told of another request has ended this one.
            return;
        }
        if (shipment.isOver()) {
            if (now >= shipment.deadline + plan.lingerMicros()) {
                abandon(berth, Ended.OVERDUE, null);
            }
        } else if (now >= sendBy(berth, shipment)
                && !unsend(berth, new Outcome.NotRun(Reason.LATE, 0))
                && now >= shipment.deadline) {
            Outcome outcome = new Outcome.MayHaveRun("deadline");
            if (shipment.repeatable) {
                abandon(berth, Ended.OVERDUE, outcome);
            } else {
                tell(shipment, outcome);
            }
        }
    }

    private static long sendBy(ServerConnection berth, Shipment shipment) {
        return berth.isConnecting() ? shipment.deadline - Stevedore.MARGIN_MICROS + 1 : shipment.deadline;
    }

    private long nextTime(ServerConnection berth) {
        Shipment shipment = berth.shipment();
        return shipment.isOver() ? shipment.deadline + plan.lingerMicros() : sendBy(berth, shipment);
    }

    /** Ends a request that was sent, and its connection. */
    void abandon(ServerConnection berth, Ended how, Outcome outcome) {
        berths.free(berth);
        end(berth.abandon(), how, outcome);
    }

    /** Takes a request back of which nothing was sent; false if it may have run. */
    boolean unsend(ServerConnection berth, Outcome.NotRun outcome) {
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
        for (ServerConnection berth : berths.busy()) {
            ServerConnection idle = berth.isConnecting() ? pollIdle(now, berth.shipment()) : null;
            if (idle != null) {
                berths.free(berth);
                berths.send(idle, berth.drop(), now);
            }
        }
    }

    /** What can't be repeated takes none that was idle for long while new ones are to be had. */
    private ServerConnection pollIdle(long now, Shipment shipment) {
        boolean any = shipment.repeatable || berths.failing(now);
        return berths.pollIdle(now, any ? Long.MAX_VALUE : lull.at(now));
    }

    private boolean letGo(long now) {
        Shipment first = stevedore.first(now);
        ServerConnection idle = pollIdle(now, first);
        if (idle != null) {
            berths.send(idle, stevedore.letGo(now, first), now);
        } else if (berths.failing(now)) {
            if (berths.someUp()) {
                return false;
            }
            end(
                    stevedore.letGo(now, first),
                    Ended.OTHER,
                    new Outcome.NotRun(Reason.NO_CONNECTION, berths.failingUntil() - now));
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

    void refuse(List<Stevedore.Refusal<Shipment>> refusals) {
        for (Stevedore.Refusal<Shipment> r : refusals) {
            tell(r.cargo(), new Outcome.NotRun(r.reason(), r.retryAfterMicros()));
        }
    }

    void end(Shipment shipment, Ended how, Outcome outcome) {
        stevedore.ended(micros.getAsLong(), shipment, how);
        tell(shipment, outcome);
        wake();
    }

    void tell(Shipment shipment, Outcome outcome) {
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
        for (ServerConnection berth : berths.busy()) {
            next = Math.min(next, nextTime(berth));
        }
        if (!stevedore.waiting().isEmpty() && berths.failing(micros.getAsLong())) {
            next = Math.min(next, berths.failingUntil());
        }
        alarm.at(next);
    }

    @Override
    public void opened(ServerConnection berth) {
        berths.opened();
        long now = micros.getAsLong();
        Shipment shipment = berth.shipment();
        if (shipment == null || berth.isDone() || now + Stevedore.MARGIN_MICROS > shipment.deadline) {
            Shipment unsent = berth.drop();
            berths.rest(berth, now, idleUntil(now, ASSUMED_IDLE_SECONDS));
            if (unsent != null) {
                end(unsent, Ended.OTHER, new Outcome.NotRun(berth.isDone() ? Reason.GONE : Reason.LATE, 0));
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
    public AnswerVerdict answered(ServerConnection berth, Shipment shipment, ServerAnswer answer) {
        long now = micros.getAsLong();
        berth.idleUntil = idleUntil(now, answer.idleSeconds(ASSUMED_IDLE_SECONDS));
        lull.held(berth.wasIdle());
        AnswerVerdict verdict = AnswerVerdict.of(answer, shipment, now, stevedore.retryAfter(shipment));
        if (verdict.kind() == AnswerVerdict.Kind.FOREIGN) {
            log.accept("an answer to another request came in place of that to " + shipment.attemptId);
        }
        return verdict;
    }

    @Override
    public void ended(ServerConnection berth, Shipment shipment, AnswerVerdict verdict) {
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
    public void broken(ServerConnection berth, Shipment shipment, String why) {
        berths.free(berth);
        long now = micros.getAsLong();
        boolean handed = shipment.known.lost() == Known.MAY_HAVE_RUN;
        if (handed && berth.isSilent() && now - shipment.sentAt < Lull.AT_ONCE_MICROS) {
            lull.dropped(now, berth.wasIdle());
        }
        if (handed) {
            log.accept(shipment.attemptId + " may have run: " + why);
        }
        end(shipment, Ended.OTHER, handed ? new Outcome.MayHaveRun(why) : new Outcome.NotRun(Reason.NO_CONNECTION, 0));
    }

    @Override
    public void settled(ServerConnection berth, boolean usable) {
        settling--;
        if (usable) {
            berths.rest(berth, micros.getAsLong(), berth.idleUntil);
        }
        wake();
    }

    @Override
    public void down(ServerConnection berth, boolean wasUp) {
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
