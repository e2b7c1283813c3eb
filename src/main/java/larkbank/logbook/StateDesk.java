package larkbank.logbook;

import java.util.List;
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
        int query = call.uri().indexOf('?');
        String path = query < 0 ? call.uri() : call.uri().substring(0, query);
        if (!call.method().equals(Calls.STATE.method()) || Calls.STATE.name(path).isEmpty()) {
            others.called(call);
            return;
        }
        boolean items = query >= 0 && call.uri().startsWith(ITEMS, query);
        call.answer(new Answer(200, List.of(Map.entry("Content-Type", "application/json")),
                Scribe.bytes(teller.state(items))));
    }
}
