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
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Completion;

/**
 * A dispatcher in simulated time. It uses the scheduler, encoder and response verdicts of the real dispatcher, with a
 * simulated server instead of connections.
 */
public final class SimulatedUpstream implements RequestDispatcher {

    /** One request as the server receives it, with its connection. */
    public final class Execution {
        public final String head;
        public final String body;
        private final InFlightRequest request;
        private boolean ended;

        private Execution(InFlightRequest request, String bytes) {
            this.request = request;
            int bodyStart = bytes.indexOf("\r\n\r\n") + 4;
            head = bytes.substring(0, bodyStart);
            body = bytes.substring(bodyStart);
        }

        /**
         * Delivers a complete response on the connection.
         *
         * @param attemptId the id of the request that the response claims to be for
         */
        public void respond(int status, String attemptId, String responseBody, Map<String, String> headers) {
            if (ended) {
                return;
            }
            List<Map.Entry<String, String>> all = new ArrayList<>(headers.entrySet());
            all.add(Map.entry(RequestEncoder.ATTEMPT_ID, attemptId));
            UpstreamResponse response =
                    new UpstreamResponse(status, all, responseBody.getBytes(StandardCharsets.ISO_8859_1), true);
            ResponseVerdict verdict =
                    ResponseVerdict.of(response, request, clockMicros.getAsLong(), RETRY_AFTER_MICROS);
            if (verdict.kind() != ResponseVerdict.Kind.OTHER_REQUEST) {
                end(completion(verdict), verdict.outcome());
            }
        }

        /** Ends the connection. */
        public void disconnect() {
            if (!ended) {
                end(Completion.OTHER, outcomeOfLoss(request));
            }
        }

        private void end(Completion completion, RequestOutcome outcome) {
            ended = true;
            executions.remove(this);
            scheduler.onCompletion(clockMicros.getAsLong(), request, completion);
            request.complete(outcome);
            later.accept(0L, SimulatedUpstream.this::dispatchReady);
        }
    }

    /** The application server. */
    public interface Server {
        /** Whether it accepts a connection now. */
        boolean accepts();

        void onRequest(Execution execution);
    }

    private static final long RETRY_AFTER_MICROS = 1_000;

    private final LongSupplier clockMicros;
    private final BiConsumer<Long, Runnable> later;
    private final Server server;
    private final RequestScheduler<InFlightRequest> scheduler = new RequestScheduler<>(UpstreamOptions.defaults());
    private final Collection<Execution> executions = new LinkedHashSet<>();
    private long timerAt = Long.MAX_VALUE;

    /** @param later runs a task after a delay in microseconds */
    public SimulatedUpstream(
            LongSupplier clockMicros, BiConsumer<Long, Runnable> later, int concurrency, Server server) {
        this.clockMicros = clockMicros;
        this.later = later;
        this.server = server;
        scheduler.instanceChanged(concurrency, Long.MIN_VALUE, true);
    }

    private static Completion completion(ResponseVerdict verdict) {
        return switch (verdict.kind()) {
            case RESPONSE -> Completion.RESPONDED;
            case OVERLOADED -> Completion.OVERLOADED;
            default -> Completion.OTHER;
        };
    }

    private static RequestOutcome outcomeOfLoss(InFlightRequest request) {
        return request.knowledge.afterConnectionLoss() == ExecutionKnowledge.NOT_RUN
                ? new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0)
                : new RequestOutcome.MayHaveRun("lost");
    }

    @Override
    public RequestHandle submit(UpstreamRequest request, Consumer<RequestOutcome> onOutcome) {
        InFlightRequest inFlight = new InFlightRequest(request, onOutcome);
        reject(scheduler.enqueue(clockMicros.getAsLong(), inFlight));
        dispatchReady();
        return inFlight;
    }

    @Override
    public void cancel(RequestHandle handle) {
        InFlightRequest request = (InFlightRequest) handle;
        if (scheduler.cancel(request)) {
            request.complete(new RequestOutcome.NotRun(RejectionReason.CANCELLED, 0));
        } else if (request.idempotent) {
            List.copyOf(executions).stream().filter(e -> e.request == request).forEach(Execution::disconnect);
        }
    }

    @Override
    public UpstreamLoad load() {
        return new UpstreamLoad(scheduler.running(), scheduler.queue().size(), scheduler.concurrency());
    }

    private void reject(List<RequestScheduler.Rejection<InFlightRequest>> rejections) {
        rejections.forEach(r -> r.request().complete(new RequestOutcome.NotRun(r.reason(), r.retryAfterMicros())));
    }

    private void dispatchReady() {
        long now = clockMicros.getAsLong();
        reject(scheduler.expire(now));
        for (Execution execution : List.copyOf(executions)) {
            if (now >= execution.request.deadline) {
                execution.disconnect();
            }
        }
        while (scheduler.isReady(now)) {
            send(now, scheduler.next(now));
        }
        scheduleTimer(now);
    }

    private void send(long now, InFlightRequest request) {
        if (!server.accepts()) {
            scheduler.onCompletion(now, request, Completion.OTHER);
            request.complete(outcomeOfLoss(request));
            return;
        }
        request.knowledge = ExecutionKnowledge.SENT;
        ByteBuf bytes = RequestEncoder.encode(request.request(), now);
        Execution execution = new Execution(request, bytes.toString(StandardCharsets.ISO_8859_1));
        executions.add(execution);
        server.onRequest(execution);
    }

    private void scheduleTimer(long now) {
        long next = scheduler.nextTime();
        for (Execution execution : executions) {
            next = Math.min(next, execution.request.deadline);
        }
        if (next < timerAt) {
            timerAt = next;
            later.accept(Math.max(1, next - now), () -> {
                timerAt = Long.MAX_VALUE;
                dispatchReady();
            });
        }
    }
}
