package larkbank.logbook;

import io.vavr.control.Try;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import larkbank.gangway.Answer;
import larkbank.gangway.Call;
import larkbank.gangway.Host;
import larkbank.lading.Calls;
import larkbank.lading.Scribe;

/** Answers the calls that tell and change nothing, state and why, and hands all other calls on. */
public final class StateDesk implements Host {

    /** What a program tells of itself; built when it is asked for. */
    public interface Teller {
        Map<String, Object> state(boolean items);

        /** What is known of the last requests with that id; nothing where none come by. */
        default List<Object> why(String id) {
            return List.of();
        }
    }

    private static final String ITEMS = "?items";

    private final Host others;
    private final Teller teller;

    /** @param others who answers all else */
    public StateDesk(Host others, Teller teller) {
        this.others = others;
        this.teller = teller;
    }

    @Override
    public void called(Call call) {
        Calls asked = Calls.of(call.path())
                .filter(one -> one.method().equals(call.method()))
                .orElse(null);
        if (asked == Calls.STATE) {
            boolean items = call.uri().startsWith(ITEMS, call.path().length());
            call.answer(Answer.json(200, Scribe.bytes(teller.state(items))));
        } else if (asked == Calls.WHY) {
            why(call);
        } else {
            others.called(call);
        }
    }

    private void why(Call call) {
        String id = Calls.WHY.name(call.path()).flatMap(StateDesk::decoded).orElse("");
        Map<String, Object> told = teller.state(false);
        call.answer(Answer.json(
                200,
                Scribe.bytes(
                        Scribe.map("kind", told.get("kind"), "name", told.get("name"), "requests", teller.why(id)))));
    }

    /** Ids are clients' own texts: in a path they are encoded. */
    private static Optional<String> decoded(String id) {
        return Try.of(() -> URLDecoder.decode(id, StandardCharsets.UTF_8)).toJavaOptional();
    }
}
