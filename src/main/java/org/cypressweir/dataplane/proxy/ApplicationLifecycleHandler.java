package org.cypressweir.dataplane.proxy;

import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cypressweir.common.settings.DurationText;
import org.cypressweir.common.settings.JsonDocuments;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.jboss.logging.Logger;

/** Answers the server on this machine: its beats, its drain and its end are what this pilot tells of it. */
final class ApplicationLifecycleHandler implements RequestHandler {

    private static final Logger LOG = Logger.getLogger(ApplicationLifecycleHandler.class);
    private static final int REMEMBERED = 16;
    /** Beats that may be missing in a row. */
    private static final int MISSED = 3;

    /** What changes with a server. */
    interface Changed {
        void changed(ApplicationInstance ship);
    }

    private final LongSupplier micros;
    private final Changed changed;
    private NodeSettings papers;
    private final long life;
    private long number;
    private ApplicationInstance ship;
    private long sequence;
    private long heardAt;
    private long drainedAt;
    private boolean leaving;
    private final Set<String> ended = new LinkedHashSet<>();

    ApplicationLifecycleHandler(LongSupplier micros, NodeSettings papers, long life, Changed changed) {
        this.micros = micros;
        this.papers = papers;
        this.life = life;
        this.changed = changed;
    }

    void papers(NodeSettings next) {
        papers = next;
    }

    /** What this pilot tells of itself. */
    ProxyRegistration berth() {
        return new ProxyRegistration(
                papers.name(),
                life,
                number,
                papers.lines(papers.ip()),
                papers.control(),
                papers.zone(),
                papers.service() == null ? "" : papers.service(),
                leaving,
                ship);
    }

    ApplicationInstance ship() {
        return ship;
    }

    /** When the server has been acknowledged to drain; 0 if it has not. */
    long drainedAt() {
        return drainedAt;
    }

    /** This pilot ends soon. */
    void leave() {
        leaving = true;
        number++;
        changed.changed(ship);
    }

    @Override
    public void handle(ServerRequest call) {
        Optional<ApiCall> known = ApiCall.of(call.path());
        if (known.isEmpty()) {
            call.answer(LocalResponses.of(ErrorKind.NO_CALL));
        } else if (!known.get().method().equals(call.method())) {
            call.answer(LocalResponses.of(ErrorKind.NO_METHOD));
        } else {
            String id = known.get().name(call.path()).orElse("");
            switch (known.get()) {
                case HEARTBEAT -> beat(call, id);
                case DEREGISTER -> {
                    gone(id, "has ended");
                    call.answer(taken());
                }
                default -> call.answer(LocalResponses.of(ErrorKind.NO_CALL));
            }
        }
    }

    private static ServerResponse taken() {
        return ServerResponse.json(200, new byte[] {'{', '}'});
    }

    private void beat(ServerRequest call, String id) {
        Either<String, Map<String, Object>> read = JsonDocuments.read(call.body());
        if (read.isLeft()) {
            call.answer(ServerResponse.text(ErrorKind.MALFORMED.status(), read.getLeft()));
            return;
        }
        Map<String, Object> node = JsonCodec.object(read.get(), "nodeInfo");
        Map<String, Object> oper = JsonCodec.object(read.get(), "operStatus");
        if (JsonCodec.text(node, "service").isEmpty() || !(oper.get("callSequence") instanceof Number)) {
            call.answer(ServerResponse.text(
                    ErrorKind.MALFORMED.status(), "a beat wants nodeInfo.service and operStatus.callSequence"));
            return;
        }
        call.answer(taken());
        long its = Json.whole(oper, "callSequence", 0);
        boolean known = ship != null && ship.id().equals(id);
        if (ended.contains(id) || known && its < sequence) {
            return;
        }
        long now = micros.getAsLong();
        sequence = its;
        heardAt = now;
        boolean draining = JsonCodec.text(oper, "operState").equals("draining") || known && ship.draining();
        if (draining && !(known && ship.draining())) {
            drainedAt = now;
        } else if (!draining) {
            drainedAt = 0;
        }
        long warm = known ? ship.warmAt() : micros(JsonCodec.text(oper, "warmupLeft"));
        ApplicationInstance next = new ApplicationInstance(
                id,
                JsonCodec.text(node, "service"),
                JsonCodec.text(read.get(), "address"),
                (int) Math.max(1, Json.whole(node, "capacitySlots", 1)),
                draining,
                known || warm <= 0 ? known ? warm : 0 : now + warm);
        if (!next.equals(ship)) {
            if (!known) {
                LOG.info("Server " + id + " of " + next.service() + " is here.");
            } else if (draining) {
                LOG.info("Server " + id + " drains.");
            }
            ship = next;
            number++;
            changed.changed(ship);
        }
    }

    private static long micros(String time) {
        return DurationText.micros(time).getOrElse(0L);
    }

    private void gone(String id, String why) {
        ended.add(id);
        if (ended.size() > REMEMBERED) {
            ended.remove(ended.iterator().next());
        }
        if (ship != null && ship.id().equals(id)) {
            LOG.info("Server " + id + " " + why + ".");
            ship = null;
            drainedAt = 0;
            number++;
            changed.changed(null);
        }
    }

    /** To be called some times a second: a server whose beats end has crashed. */
    void tick() {
        if (ship != null && micros.getAsLong() - heardAt > MISSED * papers.heartbeatMicros() + 500_000) {
            String id = ship.id();
            gone(id, "is silent");
            ended.remove(id);
        }
    }
}
