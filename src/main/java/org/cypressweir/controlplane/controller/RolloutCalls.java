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
 * Handles operators' calls that begin or read rollouts. An order for a rollout is acknowledged once a majority of
 * voters has it on disk. Repeating the latest order is acknowledged again whatever the state of its rollout; a
 * different order is rejected while a rollout of the service is in progress. Runs on the event loop.
 */
final class RolloutCalls {

    private static final Logger LOG = Logger.getLogger(RolloutCalls.class);
    private static final long TIMEOUT_MICROS = 850_000;
    private static final int OK = 200;

    /** An operator's order to move a service to another version within a period. */
    private record Order(String service, String targetVersion, long periodMicros) {}

    private final Supplier<ReplicaDriver> driver;
    private final LongSupplier clock;

    /** @param clock in microseconds */
    RolloutCalls(Supplier<ReplicaDriver> driver, LongSupplier clock) {
        this.driver = driver;
        this.clock = clock;
    }

    /** Handles a call that begins a rollout. */
    void begin(ServerRequest request) {
        readOrder(request.body())
                .peekLeft(reason -> request.answer(OperatorApiHandler.error(ErrorKind.INVALID, reason)))
                .forEach(order -> readConfigurationAndBegin(request, order, clock.getAsLong() + TIMEOUT_MICROS));
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
            return Either.left("service and targetVersion must be non-empty strings");
        }
        Option<Long> period = DurationText.micros(JsonCodec.text(fields, "rolloutPeriod"));
        if (period.isEmpty() || period.get() < RolloutStages.MIN_PERIOD_MICROS) {
            return Either.left("rolloutPeriod must be a duration of at least one second, such as 12s");
        }
        if (period.get() > RolloutStages.MAX_PERIOD_MICROS) {
            return Either.left("rolloutPeriod must be at most ten minutes");
        }
        return Either.right(new Order(service, targetVersion, period.get()));
    }

    private void readConfigurationAndBegin(ServerRequest request, Order order, long deadline) {
        driver.get().read(deadline, result -> {
            if (result instanceof ProposalResult.Read read) {
                validateAndPropose(request, order, deadline, read.configuration());
            } else {
                request.answer(OperatorApiHandler.answer(result));
            }
        });
    }

    private void validateAndPropose(ServerRequest request, Order order, long deadline, Configuration configuration) {
        if (configuration.active(new ItemKey(ItemType.SERVICES, order.service())) == null) {
            request.answer(OperatorApiHandler.error(ErrorKind.INVALID, "service " + order.service() + " is not known"));
            return;
        }
        Rollout latest = Rollout.find(configuration, order.service());
        if (latest != null && latest.isOrder(order.targetVersion(), order.periodMicros())) {
            request.answer(OperatorApiHandler.json(OK, Map.of()));
            return;
        }
        if (latest != null && latest.isInProgress()) {
            request.answer(OperatorApiHandler.error(
                    ErrorKind.CONFLICT, "a rollout of " + latest.targetVersion() + " is in progress"));
            return;
        }
        Rollout initialStep = Rollout.begin(
                latest, order.service(), order.targetVersion(), order.periodMicros(), RolloutStages.share(0));
        driver.get()
                .submit(
                        ConfigurationChange.of(initialStep.toItem()),
                        deadline,
                        result -> answerBegin(request, initialStep, result));
    }

    private static void answerBegin(ServerRequest request, Rollout initialStep, ProposalResult result) {
        if (result instanceof ProposalResult.Committed) {
            LOG.info("rollout ordered service=" + initialStep.service() + " targetVersion="
                    + initialStep.targetVersion());
        }
        if (result instanceof ProposalResult.Rejected) {
            // A concurrent order, the same or a different one, was committed first; a retry finds out which.
            request.answer(OperatorApiHandler.error(ErrorKind.UNAVAILABLE, "another order is being taken"));
        } else {
            request.answer(OperatorApiHandler.answer(result));
        }
    }

    /** Handles a call that reads the state of the latest rollout of a service. */
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
