package larkbank.logbook;

import java.util.Map;
import larkbank.gangway.Answer;
import larkbank.gangway.Call;
import larkbank.gangway.Host;
import larkbank.lading.Calls;
import larkbank.lading.Scribe;

/** Answers the state call, which changes nothing, and hands all other calls on. */
public final class StateDesk implements Host {

    /** What a program tells of itself; built when it is asked for. */
    public interface Teller {
        Map<String, Object> state(boolean items);
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
        if (!call.method().equals(Calls.STATE.method()) || Calls.STATE.name(call.path()).isEmpty()) {
            others.called(call);
            return;
        }
        boolean items = call.uri().startsWith(ITEMS, call.path().length());
        call.answer(Answer.json(200, Scribe.bytes(teller.state(items))));
    }
}
