package org.cypressweir.controlplane.controller;

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

/** Answers operators: what they change is taken once enough copies have it on their disks. */
final class OperatorApiHandler implements RequestHandler {

    private static final Logger LOG = Logger.getLogger(OperatorApiHandler.class);
    /** Callers go elsewhere after a second of silence. */
    private static final long PATIENCE = 850_000;
    /** More of it for each byte of a large call, in microseconds. */
    private static final double PER_BYTE = 2;

    private final Supplier<ReplicaDriver> keeping;
    private final Supplier<Option<String>> elsewhere;
    private final LongSupplier micros;

    /**
     * @param keeping gives nothing as long as the disk is not open
     * @param elsewhere where to go on, if this harbour has no vote and another that has is heard
     */
    OperatorApiHandler(Supplier<ReplicaDriver> keeping, Supplier<Option<String>> elsewhere, LongSupplier micros) {
        this.keeping = keeping;
        this.elsewhere = elsewhere;
        this.micros = micros;
    }

    @Override
    public void handle(ServerRequest call) {
        Optional<ApiCall> known = ApiCall.of(call.path());
        if (known.isEmpty()) {
            call.answer(fault(ErrorKind.NO_CALL, "no such call"));
        } else if (!known.get().method().equals(call.method())) {
            call.answer(
                    fault(ErrorKind.NO_METHOD, "this call wants " + known.get().method()));
        } else if (keeping.get() == null) {
            call.answer(fault(ErrorKind.UNAVAILABLE, "the disk is not open yet"));
        } else {
            switch (known.get()) {
                case MODIFY, READ -> agreed(call, known.get());
                case BEGIN -> begin(call);
                case READINESS -> call.answer(ServerResponse.of(200));
                default -> call.answer(fault(ErrorKind.NO_CALL, "servers call the pilot beside them"));
            }
        }
    }

    /** Only who has a vote can tell what is agreed. */
    private void agreed(ServerRequest call, ApiCall which) {
        Option<String> voter = elsewhere.get();
        if (voter.isDefined()) {
            call.answer(ServerResponse.of(307).withHeader("Location", "http://" + voter.get() + call.path()));
        } else if (which == ApiCall.MODIFY) {
            modify(call);
        } else {
            read(call);
        }
    }

    private void begin(ServerRequest call) {
        Set<String> abandoned = new HashSet<>();
        try {
            Map<String, Object> asked = JsonCodec.read(call.body(), 0, call.body().length);
            if (!Json.flag(asked, "confirm")) {
                call.answer(fault(ErrorKind.INVALID, "confirm is wanted"));
                return;
            }
            Json.array(asked, "abandon").forEach(one -> abandoned.add(String.valueOf(one)));
        } catch (IOException e) {
            call.answer(fault(ErrorKind.INVALID, "no JSON object"));
            return;
        }
        String why = keeping.get().beginAlone(abandoned);
        LOG.warn(
                why == null
                        ? "An operator's word: this harbour begins with nothing."
                        : "An operator's word to begin is refused: " + why + ".");
        call.answer(why == null ? json(200, Map.of()) : fault(ErrorKind.CONFLICT, why));
    }

    private void modify(ServerRequest call) {
        long begun = micros.getAsLong();
        ConfigurationChange.read(call.body())
                .peekLeft(refusal -> call.answer(refused(refusal)))
                .forEach(order -> keeping.get()
                        .submit(order, begun + PATIENCE + (long) (PER_BYTE * call.body().length), verdict -> {
                            LOG.info("A change of " + call.body().length + " bytes: " + word(verdict) + " after "
                                    + (micros.getAsLong() - begun) / 1000 + " ms.");
                            call.answer(answer(verdict));
                        }));
    }

    private static String word(ProposalResult verdict) {
        if (verdict instanceof ProposalResult.Taken taken) {
            return "taken at " + taken.stamp();
        }
        return verdict instanceof ProposalResult.Refused r
                ? "refused, " + r.refusal().reason()
                : "open";
    }

    private void read(ServerRequest call) {
        keeping.get().read(micros.getAsLong() + PATIENCE, verdict -> call.answer(answer(verdict)));
    }

    static ServerResponse answer(ProposalResult verdict) {
        if (verdict instanceof ProposalResult.Taken) {
            return json(200, Map.of());
        } else if (verdict instanceof ProposalResult.Read read) {
            return json(200, read.manifest().layout());
        } else if (verdict instanceof ProposalResult.Refused refused) {
            return refused(refused.refusal());
        }
        return fault(ErrorKind.UNAVAILABLE, verdict instanceof ProposalResult.Unavailable u ? u.reason() : "no answer");
    }

    private static ServerResponse refused(Rejection refusal) {
        return fault(
                switch (refusal.kind()) {
                    case INVALID -> ErrorKind.INVALID;
                    case CONFLICT -> ErrorKind.CONFLICT;
                    case FORGOTTEN -> ErrorKind.UNAVAILABLE;
                },
                refusal.reason());
    }

    private static ServerResponse json(int status, Map<String, Object> body) {
        return ServerResponse.json(status, JsonCodec.bytes(body));
    }

    private static ServerResponse fault(ErrorKind fault, String reason) {
        ServerResponse answer =
                json(fault.status(), JsonCodec.map("error", fault.name().toLowerCase(Locale.ROOT), "reason", reason));
        return fault.saysWhen() ? answer.withHeader("Retry-After", "0.2") : answer;
    }
}
