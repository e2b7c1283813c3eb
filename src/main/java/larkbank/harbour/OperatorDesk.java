package larkbank.harbour;

import io.vavr.control.Option;
import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import larkbank.Json;
import larkbank.copies.ProposalResult;
import larkbank.gangway.Answer;
import larkbank.gangway.Call;
import larkbank.gangway.Host;
import larkbank.lading.Calls;
import larkbank.lading.Fault;
import larkbank.lading.Scribe;
import larkbank.manifest.Order;
import larkbank.manifest.Refusal;
import org.jboss.logging.Logger;

/** Answers operators: what they change is taken once enough copies have it on their disks. */
final class OperatorDesk implements Host {

    private static final Logger LOG = Logger.getLogger("harbour");
    /** Callers go elsewhere after a second of silence. */
    private static final long PATIENCE = 850_000;
    /** More of it for each byte of a large call, in microseconds. */
    private static final double PER_BYTE = 2;

    private final Supplier<Keeping> keeping;
    private final Supplier<Option<String>> elsewhere;
    private final LongSupplier micros;

    /**
     * @param keeping gives nothing as long as the disk is not open
     * @param elsewhere where to go on, if this harbour has no vote and another that has is heard
     */
    OperatorDesk(Supplier<Keeping> keeping, Supplier<Option<String>> elsewhere, LongSupplier micros) {
        this.keeping = keeping;
        this.elsewhere = elsewhere;
        this.micros = micros;
    }

    @Override
    public void called(Call call) {
        Optional<Calls> known = Calls.of(call.path());
        if (known.isEmpty()) {
            call.answer(fault(Fault.NO_CALL, "no such call"));
        } else if (!known.get().method().equals(call.method())) {
            call.answer(fault(Fault.NO_METHOD, "this call wants " + known.get().method()));
        } else if (keeping.get() == null) {
            call.answer(fault(Fault.UNAVAILABLE, "the disk is not open yet"));
        } else {
            switch (known.get()) {
                case MODIFY, READ -> agreed(call, known.get());
                case BEGIN -> begin(call);
                case READINESS -> call.answer(Answer.of(200));
                default -> call.answer(fault(Fault.NO_CALL, "servers call the pilot beside them"));
            }
        }
    }

    /** Only who has a vote can tell what is agreed. */
    private void agreed(Call call, Calls which) {
        Option<String> voter = elsewhere.get();
        if (voter.isDefined()) {
            call.answer(Answer.of(307).withHeader("Location", "http://" + voter.get() + call.path()));
        } else if (which == Calls.MODIFY) {
            modify(call);
        } else {
            read(call);
        }
    }

    private void begin(Call call) {
        Set<String> abandoned = new HashSet<>();
        try {
            Map<String, Object> asked = Scribe.read(call.body(), 0, call.body().length);
            if (!Json.flag(asked, "confirm")) {
                call.answer(fault(Fault.INVALID, "confirm is wanted"));
                return;
            }
            Json.array(asked, "abandon").forEach(one -> abandoned.add(String.valueOf(one)));
        } catch (IOException e) {
            call.answer(fault(Fault.INVALID, "no JSON object"));
            return;
        }
        String why = keeping.get().beginAlone(abandoned);
        LOG.warn(
                why == null
                        ? "An operator's word: this harbour begins with nothing."
                        : "An operator's word to begin is refused: " + why + ".");
        call.answer(why == null ? json(200, Map.of()) : fault(Fault.CONFLICT, why));
    }

    private void modify(Call call) {
        long begun = micros.getAsLong();
        Order.read(call.body())
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

    private void read(Call call) {
        keeping.get().read(micros.getAsLong() + PATIENCE, verdict -> call.answer(answer(verdict)));
    }

    static Answer answer(ProposalResult verdict) {
        if (verdict instanceof ProposalResult.Taken) {
            return json(200, Map.of());
        } else if (verdict instanceof ProposalResult.Read read) {
            return json(200, read.manifest().layout());
        } else if (verdict instanceof ProposalResult.Refused refused) {
            return refused(refused.refusal());
        }
        return fault(Fault.UNAVAILABLE, verdict instanceof ProposalResult.Unavailable u ? u.reason() : "no answer");
    }

    private static Answer refused(Refusal refusal) {
        return fault(
                switch (refusal.kind()) {
                    case INVALID -> Fault.INVALID;
                    case CONFLICT -> Fault.CONFLICT;
                    case FORGOTTEN -> Fault.UNAVAILABLE;
                },
                refusal.reason());
    }

    private static Answer json(int status, Map<String, Object> body) {
        return Answer.json(status, Scribe.bytes(body));
    }

    private static Answer fault(Fault fault, String reason) {
        Answer answer =
                json(fault.status(), Scribe.map("error", fault.name().toLowerCase(Locale.ROOT), "reason", reason));
        return fault.saysWhen() ? answer.withHeader("Retry-After", "0.2") : answer;
    }
}
