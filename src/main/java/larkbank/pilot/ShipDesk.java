package larkbank.pilot;

import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import larkbank.Json;
import larkbank.berth.Berth;
import larkbank.berth.Ship;
import larkbank.gangway.Answer;
import larkbank.gangway.Call;
import larkbank.gangway.Host;
import larkbank.lading.Calls;
import larkbank.lading.Fault;
import larkbank.lading.Scribe;
import larkbank.papers.Duration;
import larkbank.papers.NodePapers;
import larkbank.papers.Sheets;
import org.jboss.logging.Logger;

/** Answers the server on this machine: its beats, its drain and its end are what this pilot tells of it. */
final class ShipDesk implements Host {

    private static final Logger LOG = Logger.getLogger("berth");
    private static final int REMEMBERED = 16;
    /** Beats that may be missing in a row. */
    private static final int MISSED = 3;

    /** What changes with a server. */
    interface Changed {
        void changed(Ship ship);
    }

    private final LongSupplier micros;
    private final Changed changed;
    private NodePapers papers;
    private final long life;
    private long number;
    private Ship ship;
    private long sequence;
    private long heardAt;
    private long drainedAt;
    private boolean leaving;
    private final Set<String> ended = new LinkedHashSet<>();

    ShipDesk(LongSupplier micros, NodePapers papers, long life, Changed changed) {
        this.micros = micros;
        this.papers = papers;
        this.life = life;
        this.changed = changed;
    }

    void papers(NodePapers next) {
        papers = next;
    }

    /** What this pilot tells of itself. */
    Berth berth() {
        return new Berth(
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

    Ship ship() {
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
    public void called(Call call) {
        Optional<Calls> known = Calls.of(call.path());
        if (known.isEmpty()) {
            call.answer(Answers.of(Fault.NO_CALL));
        } else if (!known.get().method().equals(call.method())) {
            call.answer(Answers.of(Fault.NO_METHOD));
        } else {
            String id = known.get().name(call.path()).orElse("");
            switch (known.get()) {
                case HEARTBEAT -> beat(call, id);
                case DEREGISTER -> {
                    gone(id, "has ended");
                    call.answer(taken());
                }
                default -> call.answer(Answers.of(Fault.NO_CALL));
            }
        }
    }

    private static Answer taken() {
        return Answer.json(200, new byte[] {'{', '}'});
    }

    private void beat(Call call, String id) {
        Either<String, Map<String, Object>> read = Sheets.read(call.body());
        if (read.isLeft()) {
            call.answer(Answer.text(Fault.MALFORMED.status(), read.getLeft()));
            return;
        }
        Map<String, Object> node = Scribe.object(read.get(), "nodeInfo");
        Map<String, Object> oper = Scribe.object(read.get(), "operStatus");
        if (Scribe.text(node, "service").isEmpty() || !(oper.get("callSequence") instanceof Number)) {
            call.answer(
                    Answer.text(Fault.MALFORMED.status(), "a beat wants nodeInfo.service and operStatus.callSequence"));
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
        boolean draining = Scribe.text(oper, "operState").equals("draining") || known && ship.draining();
        if (draining && !(known && ship.draining())) {
            drainedAt = now;
        } else if (!draining) {
            drainedAt = 0;
        }
        long warm = known ? ship.warmAt() : micros(Scribe.text(oper, "warmupLeft"));
        Ship next = new Ship(
                id,
                Scribe.text(node, "service"),
                Scribe.text(read.get(), "address"),
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
        return Duration.micros(time).getOrElse(0L);
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
