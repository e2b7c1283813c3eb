package org.cypressweir.controlplane.controller;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Rejection;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.jboss.logging.Logger;

/**
 * Handles operators' calls to a controller. A change is acknowledged once a majority of voters has it on disk; a
 * controller that is not a voter redirects changes and reads to a voter. Runs on the event loop.
 */
final class OperatorApiHandler implements RequestHandler {

    private static final Logger LOG = Logger.getLogger(OperatorApiHandler.class);
    /** Less than the one second after which callers without an answer try another controller. */
    private static final long TIMEOUT_MICROS = 850_000;

    /** Additional time for each byte of a large change. */
    private static final double TIMEOUT_MICROS_PER_BYTE = 2;

    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final String RETRY_AFTER_SECONDS = "0.2";
    private static final String CONFIRM_FIELD = "confirm";
    private static final String ABANDONED_FIELD = "abandon";

    private final Supplier<ReplicaDriver> driver;
    private final Supplier<Option<String>> redirectTarget;
    private final LongSupplier clock;
    private final ControllerStatistics statistics;
    private final RolloutCalls rollouts;

    /**
     * @param driver gives null until the store is open
     * @param redirectTarget a voter's address for operators, if this controller is not a voter
     * @param clock in microseconds
     * @param statistics counts changes and reads
     */
    OperatorApiHandler(
            Supplier<ReplicaDriver> driver,
            Supplier<Option<String>> redirectTarget,
            LongSupplier clock,
            ControllerStatistics statistics) {
        this.driver = driver;
        this.redirectTarget = redirectTarget;
        this.clock = clock;
        this.statistics = statistics;
        rollouts = new RolloutCalls(driver, clock);
    }

    @Override
    public void handle(ServerRequest request) {
        Optional<ApiCall> call = ApiCall.of(request.path());
        if (call.isEmpty()) {
            request.answer(error(ErrorKind.NO_CALL, "no such call"));
        } else if (!call.get().method().equals(request.method())) {
            request.answer(error(
                    ErrorKind.NO_METHOD, "this call requires " + call.get().method()));
        } else if (driver.get() == null) {
            request.answer(error(ErrorKind.UNAVAILABLE, "the store is not open yet"));
        } else {
            dispatch(request, call.get());
        }
    }

    private void dispatch(ServerRequest request, ApiCall call) {
        switch (call) {
            case MODIFY -> redirectOrHandle(request, this::modify);
            case READ -> redirectOrHandle(request, this::read);
            case ROLLOUT_BEGIN -> redirectOrHandle(request, rollouts::begin);
            case ROLLOUT_READ -> redirectOrHandle(request, rollouts::read);
            case BOOTSTRAP -> bootstrap(request);
            case READINESS -> request.answer(ServerResponse.of(OK));
            default -> request.answer(error(ErrorKind.NO_CALL, "applications send this call to the proxy beside them"));
        }
    }

    /** Only a voter knows what is committed. */
    private void redirectOrHandle(ServerRequest request, RequestHandler handler) {
        Option<String> voter = redirectTarget.get();
        if (voter.isDefined()) {
            request.answer(ServerResponse.of(TEMPORARY_REDIRECT)
                    .withHeader("Location", "http://" + voter.get() + request.path()));
        } else {
            handler.handle(request);
        }
    }

    private void bootstrap(ServerRequest request) {
        abandonedReplicas(request.body())
                .peekLeft(reason -> request.answer(error(ErrorKind.INVALID, reason)))
                .forEach(abandoned -> bootstrap(request, abandoned));
    }

    private void bootstrap(ServerRequest request, Set<String> abandoned) {
        String rejection = driver.get().bootstrap(abandoned);
        if (rejection == null) {
            LOG.warn("bootstrap requested by an operator: starting with an empty state");
            request.answer(json(OK, Map.of()));
        } else {
            LOG.warn("bootstrap request rejected reason=\"" + rejection + "\"");
            request.answer(error(ErrorKind.CONFLICT, rejection));
        }
    }

    /** The replicas that a confirmed bootstrap call abandons; otherwise why the call is invalid. */
    private static Either<String, Set<String>> abandonedReplicas(byte[] body) {
        Map<String, Object> fields;
        try {
            fields = JsonCodec.read(body, 0, body.length);
        } catch (IOException e) {
            return Either.left("not a JSON object");
        }
        if (!Json.flag(fields, CONFIRM_FIELD)) {
            return Either.left("confirm must be true");
        }
        Set<String> abandoned = new HashSet<>();
        Json.array(fields, ABANDONED_FIELD).forEach(replica -> abandoned.add(String.valueOf(replica)));
        return Either.right(abandoned);
    }

    private void modify(ServerRequest request) {
        ConfigurationChange.read(request.body())
                .peekLeft(rejection -> {
                    statistics.changeMalformed();
                    request.answer(rejected(rejection));
                })
                .forEach(change -> submit(request, change));
    }

    private void submit(ServerRequest request, ConfigurationChange change) {
        long startMicros = clock.getAsLong();
        int bytes = request.body().length;
        long deadline = startMicros + TIMEOUT_MICROS + (long) (TIMEOUT_MICROS_PER_BYTE * bytes);
        driver.get().submit(change, deadline, result -> {
            long tookMicros = clock.getAsLong() - startMicros;
            statistics.changeEnded(result, tookMicros);
            LOG.info(outcome(result) + " bytes=" + bytes + " tookMillis=" + tookMicros / 1_000);
            request.answer(answer(result));
        });
    }

    private static String outcome(ProposalResult result) {
        if (result instanceof ProposalResult.Committed committed) {
            return "configuration change committed proposal=" + committed.number();
        } else if (result instanceof ProposalResult.Rejected rejected) {
            return "configuration change rejected reason=\""
                    + rejected.rejection().reason() + "\"";
        }
        return "configuration change not confirmed in time";
    }

    private void read(ServerRequest request) {
        driver.get().read(clock.getAsLong() + TIMEOUT_MICROS, result -> {
            statistics.readEnded(result);
            request.answer(answer(result));
        });
    }

    /** The HTTP response to an operator for a proposal's result. */
    static ServerResponse answer(ProposalResult result) {
        if (result instanceof ProposalResult.Committed) {
            return json(OK, Map.of());
        } else if (result instanceof ProposalResult.Read read) {
            return json(OK, read.configuration().layout());
        } else if (result instanceof ProposalResult.Rejected rejected) {
            return rejected(rejected.rejection());
        }
        return error(
                ErrorKind.UNAVAILABLE,
                result instanceof ProposalResult.Unavailable unavailable ? unavailable.reason() : "no answer");
    }

    private static ServerResponse rejected(Rejection rejection) {
        ErrorKind kind =
                switch (rejection.kind()) {
                    case INVALID -> ErrorKind.INVALID;
                    case CONFLICT -> ErrorKind.CONFLICT;
                    case VERSION_TOO_OLD -> ErrorKind.UNAVAILABLE;
                };
        return error(kind, rejection.reason());
    }

    static ServerResponse json(int status, Map<String, Object> body) {
        return ServerResponse.json(status, JsonCodec.bytes(body));
    }

    static ServerResponse error(ErrorKind kind, String reason) {
        ServerResponse response =
                json(kind.status(), JsonCodec.map("error", kind.name().toLowerCase(Locale.ROOT), "reason", reason));
        return kind.hasRetryAfter() ? response.withHeader("Retry-After", RETRY_AFTER_SECONDS) : response;
    }
}
