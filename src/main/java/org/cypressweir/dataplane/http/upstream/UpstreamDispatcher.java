package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Ended;

/**
 * Hands requests to the one server beside this process and tells the one outcome of each. All calls are made
 * on the loop, and all outcomes are told on it, some from inside the call.
 */
public final class UpstreamDispatcher implements RequestDispatcher {
    private static final RequestOutcome.NotRun GONE = new RequestOutcome.NotRun(RejectionReason.GONE, 0);
    private static final RequestOutcome.NotRun CANCELLED = new RequestOutcome.NotRun(RejectionReason.CANCELLED, 0);

    private final EventLoop loop;
    private final Consumer<String> log;
    private final UpstreamConnectionManager pier;
    private final RequestScheduler<InFlightRequest> stevedore;
    private final UpstreamConnections berths;
    private InstanceIncarnation life;
    private boolean leaving;

    public UpstreamDispatcher(
            EventLoop loop,
            InetSocketAddress application,
            LongSupplier micros,
            UpstreamOptions plan,
            Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        pier = new UpstreamConnectionManager(loop, application, micros, plan, log);
        stevedore = pier.stevedore;
        berths = pier.berths;
    }

    /** Who has the address now, null for nobody. */
    public void life(InstanceIncarnation next) {
        check();
        boolean another = life == null || next == null || !next.instanceId().equals(life.instanceId());
        life = next;
        stevedore.life(
                next == null ? 0 : Math.max(1, next.slots()),
                next == null ? Long.MIN_VALUE : next.warmUntilMicros(),
                another);
        if (another) {
            pier.another();
            handBack(false);
        }
        pier.wake();
    }

    /** How many the server accepts in all. */
    public void maxConnections(int most) {
        check();
        berths.maxConnections(most);
        pier.wake();
    }

    @Override
    public RequestHandle take(UpstreamRequest freight, Consumer<RequestOutcome> end) {
        check();
        InFlightRequest shipment = new InFlightRequest(freight, end);
        String fault = RequestEncoder.fault(freight);
        if (fault != null) {
            log.accept("refused " + freight.id() + ": its " + fault + " can't be sent");
            pier.tell(shipment, new RequestOutcome.NotRun(RejectionReason.REFUSED, 0));
        } else if (leaving || !isNamed(shipment)) {
            pier.tell(shipment, GONE);
        } else {
            pier.arrive(shipment);
        }
        return shipment;
    }

    @Override
    public void cancel(RequestHandle ticket) {
        check();
        InFlightRequest shipment = (InFlightRequest) ticket;
        if (shipment.isOver()) {
            return;
        }
        if (stevedore.cancel(shipment)) {
            pier.tell(shipment, CANCELLED);
            return;
        }
        for (UpstreamConnection berth : berths.busy()) {
            if (berth.shipment() == shipment && !pier.unsend(berth, CANCELLED) && shipment.repeatable) {
                pier.abandon(berth, Ended.OTHER, new RequestOutcome.MayHaveRun("cancelled"));
            }
        }
    }

    @Override
    public UpstreamLoad load() {
        return new UpstreamLoad(stevedore.running(), stevedore.waiting().size(), stevedore.slots());
    }

    /** This process ends: nothing more goes to the server, what runs goes on. */
    public void leave() {
        check();
        leaving = true;
        handBack(true);
    }

    /** Whether nothing runs. */
    public boolean idle() {
        return stevedore.running() == 0;
    }

    /** Ends all at once. */
    public void close() {
        leave();
        berths.retire();
        for (UpstreamConnection berth : berths.busy()) {
            if (berth.shipment() != null && !pier.unsend(berth, GONE)) {
                pier.abandon(berth, Ended.OTHER, new RequestOutcome.MayHaveRun("closed"));
            }
        }
        pier.close();
    }

    int connections() {
        return berths.open();
    }

    /** Does what is due. */
    void tick() {
        pier.tick();
    }

    private boolean isNamed(InFlightRequest shipment) {
        String instance = shipment.freight().instanceId();
        return life != null && (instance == null || instance.equals(life.instanceId()));
    }

    /** Hands back what is not sent: all of it, or what is for another life of the server. */
    private void handBack(boolean all) {
        for (InFlightRequest shipment : List.copyOf(stevedore.waiting())) {
            if ((all || !isNamed(shipment)) && stevedore.cancel(shipment)) {
                pier.tell(shipment, GONE);
            }
        }
        for (UpstreamConnection berth : berths.busy()) {
            // One that comes up now leads to who knows which life.
            if (berth.isConnecting()) {
                pier.unsend(berth, GONE);
            }
        }
    }

    private void check() {
        if (!loop.inEventLoop()) {
            throw new IllegalStateException("not on the loop");
        }
    }
}
