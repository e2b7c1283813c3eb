package org.cypressweir.controlplane.controller;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.settings.DurationText;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.Rollout;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.jboss.logging.Logger;

/**
 * Answers the operators' calls about rollouts. An order is acknowledged once a majority of voters has it on disk. The
 * same order again is acknowledged again, whatever became of it; another one is refused while one is in progress. Runs
 * on the event loop.
 */
final class RolloutCalls {

    private static final Logger LOG = Logger.getLogger(RolloutCalls.class);
    private static final long TIMEOUT_MICROS = 850_000;
    private static final int OK = 200;

    /** What an operator orders. */
    private record Order(String service, String targetVersion, long periodMicros) {}

    private final Supplier<ReplicaDriver> driver;
    private final LongSupplier clock;

    /** @param clock in microseconds */
    RolloutCalls(Supplier<ReplicaDriver> driver, LongSupplier clock) {
        this.driver = driver;
        this.clock = clock;
    }

    /** Begins a rollout. */
    void begin(ServerRequest request) {
        readOrder(request.body())
                .peekLeft(reason -> request.answer(OperatorApiHandler.error(ErrorKind.INVALID, reason)))
                .forEach(order -> begin(request, order, clock.getAsLong() + TIMEOUT_MICROS));
    }

    private static Either<String, Order> readOrder(byte[] body) {
        Map<String, Object> fields;
        try {
            fields = JsonCodec.read(body, 0, body.length);
        } catch (IOException e) {
            return Either.left("not a JSON object");
        }
        String service = JsonCodec.text(fields, "service");
        String targetVersion = JsonCodec.text(fields, "targetVersion");
        if (service.isBlank() || targetVersion.isBlank()) {
            return Either.left("service and targetVersion must be texts that are not empty");
        }
        Option<Long> period = DurationText.micros(JsonCodec.text(fields, "rolloutPeriod"));
        if (period.isEmpty() || period.get() < RolloutStages.MIN_PERIOD_MICROS) {
            return Either.left("rolloutPeriod must be a duration such as 12s, of a second at least");
        }
        if (period.get() > RolloutStages.MAX_PERIOD_MICROS) {
            return Either.left("rolloutPeriod must be at most ten minutes");
        }
        return Either.right(new Order(service, targetVersion, period.get()));
    }

    private void begin(ServerRequest request, Order order, long deadline) {
        driver.get().read(deadline, result -> {
            if (result instanceof ProposalResult.Read read) {
                begin(request, order, deadline, read.configuration());
            } else {
                request.answer(OperatorApiHandler.answer(result));
            }
        });
    }

    private void begin(ServerRequest request, Order order, long deadline, Configuration configuration) {
        if (configuration.active(new ItemKey(ItemType.SERVICES, order.service())) == null) {
            request.answer(OperatorApiHandler.error(ErrorKind.INVALID, "service " + order.service() + " is not known"));
            return;
        }
        Rollout last = Rollout.find(configuration, order.service());
        if (last != null && last.isOrder(order.targetVersion(), order.periodMicros())) {
            request.answer(OperatorApiHandler.json(OK, Map.of()));
            return;
        }
        if (last != null && last.isInProgress()) {
            request.answer(OperatorApiHandler.error(
                    ErrorKind.CONFLICT, "a rollout of " + last.targetVersion() + " is in progress"));
            return;
        }
        Rollout first = Rollout.begin(
                last, order.service(), order.targetVersion(), order.periodMicros(), RolloutStages.share(0));
        driver.get().submit(ConfigurationChange.of(first.toItem()), deadline, result -> ended(request, first, result));
    }

    private static void ended(ServerRequest request, Rollout first, ProposalResult result) {
        if (result instanceof ProposalResult.Taken) {
            LOG.info("rollout ordered service=" + first.service() + " targetVersion=" + first.targetVersion());
        }
        if (result instanceof ProposalResult.Refused) {
            // Another order, or the same one, was quicker: which, the next call will see.
            request.answer(OperatorApiHandler.error(ErrorKind.UNAVAILABLE, "another order is being taken"));
        } else {
            request.answer(OperatorApiHandler.answer(result));
        }
    }

    /** Tells how far the last rollout of a service is. */
    void read(ServerRequest request) {
        String service = ApiCall.ROLLOUT_READ.pathParameter(request.path()).orElse("");
        driver.get().read(clock.getAsLong() + TIMEOUT_MICROS, result -> {
            if (result instanceof ProposalResult.Read read) {
                Rollout rollout = Rollout.find(read.configuration(), service);
                request.answer(
                        rollout == null
                                ? OperatorApiHandler.error(ErrorKind.NO_CALL, "no rollout of " + service)
                                : OperatorApiHandler.json(OK, describe(rollout)));
            } else {
                request.answer(OperatorApiHandler.answer(result));
            }
        });
    }

    private static Map<String, Object> describe(Rollout rollout) {
        return JsonCodec.map(
                "operState", rollout.state().wireName(),
                "targetVersion", rollout.targetVersion(),
                "share", rollout.shareOfTarget(),
                "reason", rollout.reason());
    }
}
