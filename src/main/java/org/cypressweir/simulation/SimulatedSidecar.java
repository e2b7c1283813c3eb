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
import org.cypressweir.sidecar.cell.CellRouter;
import org.cypressweir.sidecar.cell.CellRouter.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration;

/** Simulated sidecar that runs the production cell routing and load balancing in simulated time. */
final class SimulatedSidecar implements CellRouter.Actions {

    /** One-way network delay between sidecar and server. */
    private static final long NETWORK_DELAY_MICROS = 5_000;

    /** Listener for the progress of requests. */
    interface RequestListener {
        /** An attempt of the request is sent to a server. */
        default void requestSent(SimulatedRequest request, SimulatedServer machine) {}

        /** An attempt of the request starts or finishes running in a cell. */
        default void executionChanged(SimulatedRequest request, int cell, boolean started) {}

        /** The client receives the only answer to the request. */
        void requestAnswered(SimulatedRequest request, boolean served);
    }

    /** A simulated request; times in microseconds. */
    static final class SimulatedRequest {
        final String id;
        final int unit;
        final int requestClass;
        final long arrivedAt;
        final long deadline;
        final long workMicros;
        final long waitMicros;
        int executions;
        int answers;
        private Ticket ticket;
        private int attemptsInFlight;
        private boolean isAnswered;
        private final List<Attempt> attempts = new ArrayList<>(1);

        SimulatedRequest(
                String id,
                int unit,
                int requestClass,
                long arrivedAt,
                long deadline,
                long workMicros,
                long waitMicros) {
            this.id = id;
            this.unit = unit;
            this.requestClass = requestClass;
            this.arrivedAt = arrivedAt;
            this.deadline = deadline;
            this.workMicros = workMicros;
            this.waitMicros = waitMicros;
        }
    }

    private final EventTimeline timeline;
    private final Settings settings;
    private final RequestListener listener;
    private final LongFunction<SimulatedServer> serverById;
    private final List<CellBalancer> balancers = new ArrayList<>();
    /** Null if all servers form one pool without cells. */
    private final CellRouter cells;

    private final Map<Ticket, SimulatedRequest> heldRequests = new IdentityHashMap<>();

    /** @param cellsConfiguration null for one pool without cells */
    SimulatedSidecar(
            EventTimeline timeline,
            Settings settings,
            CellsConfiguration cellsConfiguration,
            List<Server> servers,
            RequestListener listener,
            LongFunction<SimulatedServer> serverById) {
        this.timeline = timeline;
        this.settings = settings;
        this.listener = listener;
        this.serverById = serverById;
        int count = cellsConfiguration == null ? 1 : cellsConfiguration.cells().size();
        cells = cellsConfiguration == null
                ? null
                : new CellRouter("lab", cellsConfiguration, settings.limits().maxOpen(), timeline.now(), this);
        if (cells != null) {
            cells.listed(timeline.now(), ListKind.COMPLETE, servers);
        }
        for (int c = 0; c < count; c++) {
            int cell = c;
            balancers.add(new CellBalancer(c));
            balancers
                    .get(c)
                    .loadBalancer
                    .servers(
                            timeline.now(),
                            ListKind.COMPLETE,
                            servers.stream()
                                    .filter(s -> cells == null || cells.cellOf(s.id()) == cell)
                                    .toList());
        }
    }

    /** Applies changes of the server list; only for a sidecar without cells. */
    void updateServers(ListKind kind, List<Server> changes) {
        balancers.get(0).loadBalancer.servers(timeline.now(), kind, changes);
    }

    /** Routes a request to the load balancer of the cell that {@link CellRouter} selects for its unit. */
    void handle(SimulatedRequest request) {
        if (cells == null) {
            balancers.get(0).handle(request);
            return;
        }
        RequestClass requestClass = settings.classes().get(request.requestClass);
        long hash = Hashes.mix(Ids.of(request.id), 0);
        request.ticket = cells.route(
                timeline.now(), Ids.of("u" + request.unit), requestClass.effect(), hash, hash, request.deadline);
        if (request.ticket.retryAfterMicros() > 0) {
            request.isAnswered = true;
            request.answers++;
            listener.requestAnswered(request, false);
        } else if (request.ticket.cell() < 0) {
            heldRequests.put(request.ticket, request);
        } else {
            balancers.get(request.ticket.cell()).handle(request);
        }
    }

    @Override
    public void release(Ticket ticket) {
        timeline.schedule(timeline.now(), () -> balancers.get(ticket.cell()).handle(heldRequests.remove(ticket)));
    }

    @Override
    public void timer(long atMicros) {
        timeline.schedule(atMicros, () -> cells.timer(timeline.now()));
    }

    @Override
    public void log(String line) {
        // The simulation reports counts only.
    }

    private final class Attempt implements SimulatedServer.Job {
        final CellBalancer balancer;
        final SimulatedRequest request;
        final int number;
        final SimulatedServer server;
        final long sentAt = timeline.now();
        private Result result;

        Attempt(CellBalancer balancer, SimulatedRequest request, SimulatedServer server) {
            this.balancer = balancer;
            this.request = request;
            this.server = server;
            number = request.attempts.size();
        }

        @Override
        public long workMicros() {
            return request.workMicros;
        }

        @Override
        public long waitMicros() {
            return request.waitMicros;
        }

        @Override
        public boolean abandoned() {
            return result != null;
        }

        @Override
        public void started() {
            request.executions++;
            listener.executionChanged(request, balancer.cell, true);
        }

        @Override
        public void finished(Result outcome, LoadReport report) {
            if (outcome == Result.SERVED) {
                listener.executionChanged(request, balancer.cell, false);
            }
            timeline.schedule(
                    timeline.now() + NETWORK_DELAY_MICROS, () -> balancer.attemptEnded(this, outcome, report));
        }
    }

    /** The load balancer of one cell and the requests it handles. */
    private final class CellBalancer implements Actions {
        private final LoadBalancer loadBalancer = new SubsetLoadBalancer(settings, this);
        private final Map<String, SimulatedRequest> requestsById = new HashMap<>();
        private final int cell;

        CellBalancer(int cell) {
            this.cell = cell;
        }

        void handle(SimulatedRequest request) {
            requestsById.put(request.id, request);
            timeline.schedule(request.deadline + 5_000, () -> {
                if (!request.isAnswered) {
                    complete(request, false);
                    loadBalancer.clientLeft(timeline.now(), request.id);
                }
            });
            loadBalancer.request(
                    timeline.now(),
                    new Request(request.id, request.requestClass, 0, false, request.unit, request.deadline, 0, false));
        }

        void attemptEnded(Attempt attempt, Result result, LoadReport report) {
            if (attempt.result != null) {
                return;
            }
            attempt.result = result;
            SimulatedRequest request = attempt.request;
            request.attemptsInFlight--;
            if (result == Result.SERVED && !request.isAnswered) {
                complete(request, true);
            }
            loadBalancer.outcome(
                    timeline.now(),
                    new Outcome(
                            request.id,
                            attempt.number,
                            attempt.server.id,
                            result,
                            timeline.now() - attempt.sentAt,
                            request.isAnswered,
                            report));
            removeIfDone(request);
        }

        private void complete(SimulatedRequest request, boolean served) {
            request.isAnswered = true;
            request.answers++;
            listener.requestAnswered(request, served);
            if (request.ticket != null) {
                cells.answered(
                        timeline.now(),
                        request.ticket,
                        served
                                && timeline.now() - request.arrivedAt
                                        <= settings.classes()
                                                .get(request.requestClass)
                                                .targetMicros());
            }
            removeIfDone(request);
        }

        private void removeIfDone(SimulatedRequest request) {
            if (request.isAnswered
                    && request.attemptsInFlight == 0
                    && requestsById.remove(request.id, request)
                    && request.ticket != null) {
                cells.ended(timeline.now(), request.ticket);
            }
        }

        @Override
        public void send(String requestId, long server, long timeoutMicros) {
            SimulatedRequest request = requestsById.get(requestId);
            if (request == null) {
                return;
            }
            Attempt attempt = new Attempt(this, request, serverById.apply(server));
            request.attempts.add(attempt);
            listener.requestSent(request, attempt.server);
            request.attemptsInFlight++;
            long until =
                    timeoutMicros == 0 ? request.deadline : Math.min(request.deadline, timeline.now() + timeoutMicros);
            timeline.schedule(timeline.now() + NETWORK_DELAY_MICROS, () -> attempt.server.submit(attempt));
            timeline.schedule(until, () -> attemptEnded(attempt, Result.TIMED_OUT, null));
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
            SimulatedRequest request = requestsById.get(requestId);
            if (request != null && !request.isAnswered) {
                complete(request, false);
            }
        }

        /** Cancels an attempt; the load balancer receives the outcome as a separate event. */
        @Override
        public void cancel(String requestId, int attempt) {
            SimulatedRequest request = requestsById.get(requestId);
            if (request != null && attempt < request.attempts.size()) {
                timeline.schedule(
                        timeline.now(), () -> attemptEnded(request.attempts.get(attempt), Result.CANCELLED, null));
            }
        }

        @Override
        public void timer(long atMicros, long token) {
            timeline.schedule(atMicros, () -> loadBalancer.timer(timeline.now(), token));
        }

        @Override
        public void probe(long server) {
            // The platform does not allow probes.
        }

        @Override
        public void closeIdle(long server) {
            // Connections cost nothing in the simulation.
        }

        @Override
        public void subscribe() {
            // The server list is given at construction; QuietFleetSimulation pushes changes.
        }

        @Override
        public void log(String line) {
            // The simulation reports counts only.
        }
    }
}
