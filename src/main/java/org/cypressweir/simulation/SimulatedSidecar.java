package org.cypressweir.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.cypressweir.sidecar.cell.Cells;
import org.cypressweir.sidecar.cell.Cells.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration;

/** A sidecar of the model: the real decisions about cells and servers, on made-up time. */
final class SimulatedSidecar implements Cells.Actions {

    /** Microseconds from a sidecar to a server or back. */
    private static final long WAY = 5_000;

    /** Hears how each request ended. */
    interface Account {
        /** It is sent to a server. */
        default void sent(Asked asked, SimulatedServer machine) {}

        /** One sending of it begins or ends to run, in a cell. */
        default void ran(Asked asked, int cell, boolean begins) {}

        /** Its one answer; served or not. */
        void answered(Asked asked, boolean served);
    }

    /** A request of the model. */
    static final class Asked {
        final String id;
        final int unit;
        final int requestClass;
        final long at;
        final long deadline;
        final long work;
        final long wait;
        int runs;
        int answers;
        private Ticket ticket;
        private int out;
        private boolean over;
        private final List<Attempt> attempts = new ArrayList<>(1);

        Asked(String id, int unit, int requestClass, long at, long deadline, long work, long wait) {
            this.id = id;
            this.unit = unit;
            this.requestClass = requestClass;
            this.at = at;
            this.deadline = deadline;
            this.work = work;
            this.wait = wait;
        }
    }

    private final EventTimeline time;
    private final Settings settings;
    private final Account account;
    private final LongFunction<SimulatedServer> machines;
    private final List<Part> parts = new ArrayList<>();
    /** Null where all servers are one pool. */
    private final Cells cells;

    private final Map<Ticket, Asked> held = new IdentityHashMap<>();

    /** @param plan null for no cells */
    SimulatedSidecar(
            EventTimeline time,
            Settings settings,
            CellsConfiguration plan,
            List<Server> servers,
            Account account,
            LongFunction<SimulatedServer> machines) {
        this.time = time;
        this.settings = settings;
        this.account = account;
        this.machines = machines;
        int count = plan == null ? 1 : plan.cells().size();
        cells = plan == null ? null : new Cells("lab", plan, settings.limits().open(), time.now(), this);
        if (cells != null) {
            cells.listed(time.now(), ListKind.COMPLETE, servers);
        }
        for (int c = 0; c < count; c++) {
            int cell = c;
            parts.add(new Part(c));
            parts.get(c)
                    .module
                    .servers(
                            time.now(),
                            ListKind.COMPLETE,
                            servers.stream()
                                    .filter(s -> cells == null || cells.cellOf(s.id()) == cell)
                                    .toList());
        }
    }

    /** Changes of the list, to an instance without cells. */
    void listed(ListKind kind, List<Server> changes) {
        parts.get(0).module.servers(time.now(), kind, changes);
    }

    /** The cell that a request of a unit goes to is for {@link Cells} to say; there its module has it. */
    void take(Asked asked) {
        if (cells == null) {
            parts.get(0).take(asked);
            return;
        }
        RequestClass c = settings.classes().get(asked.requestClass);
        long hash = Hashes.mix(Ids.of(asked.id), 0);
        asked.ticket = cells.ask(time.now(), Ids.of("u" + asked.unit), c.effect(), hash, hash, asked.deadline);
        if (asked.ticket.retryAfterMicros() > 0) {
            asked.over = true;
            asked.answers++;
            account.answered(asked, false);
        } else if (asked.ticket.cell() < 0) {
            held.put(asked.ticket, asked);
        } else {
            parts.get(asked.ticket.cell()).take(asked);
        }
    }

    @Override
    public void release(Ticket ticket) {
        time.at(time.now(), () -> parts.get(ticket.cell()).take(held.remove(ticket)));
    }

    @Override
    public void timer(long atMicros) {
        time.at(atMicros, () -> cells.timer(time.now()));
    }

    @Override
    public void log(String line) {
        // The model counts what happens; it has no operators.
    }

    private final class Attempt implements SimulatedServer.Job {
        final Part part;
        final Asked asked;
        final int number;
        final SimulatedServer machine;
        final long sentAt = time.now();
        private Result result;

        Attempt(Part part, Asked asked, SimulatedServer machine) {
            this.part = part;
            this.asked = asked;
            this.machine = machine;
            number = asked.attempts.size();
        }

        @Override
        public long workMicros() {
            return asked.work;
        }

        @Override
        public long waitMicros() {
            return asked.wait;
        }

        @Override
        public boolean abandoned() {
            return result != null;
        }

        @Override
        public void runs() {
            asked.runs++;
            account.ran(asked, part.cell, true);
        }

        @Override
        public void ends(Result outcome, LoadReport report) {
            if (outcome == Result.SERVED) {
                account.ran(asked, part.cell, false);
            }
            time.at(time.now() + WAY, () -> part.ended(this, outcome, report));
        }
    }

    /** One module with its requests. */
    private final class Part implements Actions {
        private final LoadBalancer module = new SubsetLoadBalancer(settings, this);
        private final Map<String, Asked> inHand = new HashMap<>();
        private final int cell;

        Part(int cell) {
            this.cell = cell;
        }

        void take(Asked asked) {
            inHand.put(asked.id, asked);
            time.at(asked.deadline + 5_000, () -> {
                if (!asked.over) {
                    over(asked, false);
                    module.clientLeft(time.now(), asked.id);
                }
            });
            module.request(
                    time.now(),
                    new Request(asked.id, asked.requestClass, 0, false, asked.unit, asked.deadline, 0, false));
        }

        void ended(Attempt a, Result result, LoadReport report) {
            if (a.result != null) {
                return;
            }
            a.result = result;
            Asked asked = a.asked;
            asked.out--;
            if (result == Result.SERVED && !asked.over) {
                over(asked, true);
            }
            module.outcome(
                    time.now(),
                    new Outcome(asked.id, a.number, a.machine.id, result, time.now() - a.sentAt, asked.over, report));
            forget(asked);
        }

        private void over(Asked asked, boolean served) {
            asked.over = true;
            asked.answers++;
            account.answered(asked, served);
            if (asked.ticket != null) {
                cells.answered(
                        time.now(),
                        asked.ticket,
                        served
                                && time.now() - asked.at
                                        <= settings.classes()
                                                .get(asked.requestClass)
                                                .aimMicros());
            }
            forget(asked);
        }

        private void forget(Asked asked) {
            if (asked.over && asked.out == 0 && inHand.remove(asked.id, asked) && asked.ticket != null) {
                cells.ended(time.now(), asked.ticket);
            }
        }

        @Override
        public void send(String requestId, long server, long timeoutMicros) {
            Asked asked = inHand.get(requestId);
            if (asked == null) {
                return;
            }
            Attempt a = new Attempt(this, asked, machines.apply(server));
            asked.attempts.add(a);
            account.sent(asked, a.machine);
            asked.out++;
            long until = timeoutMicros == 0 ? asked.deadline : Math.min(asked.deadline, time.now() + timeoutMicros);
            time.at(time.now() + WAY, () -> a.machine.arrives(a));
            time.at(until, () -> ended(a, Result.TIMED_OUT, null));
        }

        @Override
        public void refuse(String requestId, long retryAfterMicros) {
            answer(requestId);
        }

        @Override
        public void fail(String requestId) {
            answer(requestId);
        }

        private void answer(String requestId) {
            Asked asked = inHand.get(requestId);
            if (asked != null && !asked.over) {
                over(asked, false);
            }
        }

        /** What it ends reaches the module as an event of its own. */
        @Override
        public void cancel(String requestId, int attempt) {
            Asked asked = inHand.get(requestId);
            if (asked != null && attempt < asked.attempts.size()) {
                time.at(time.now(), () -> ended(asked.attempts.get(attempt), Result.CANCELLED, null));
            }
        }

        @Override
        public void timer(long atMicros, long token) {
            time.at(atMicros, () -> module.timer(time.now(), token));
        }

        @Override
        public void probe(long server) {
            // As on the platform: probes are not allowed.
        }

        @Override
        public void closeIdle(long server) {
            // Connections cost nothing in the model.
        }

        @Override
        public void subscribe() {
            // The list of the start holds.
        }

        @Override
        public void log(String line) {
            // The model counts what happens; it has no operators.
        }
    }
}
