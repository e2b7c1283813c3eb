package larkbank.pilot;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import larkbank.berth.Berth;
import larkbank.berth.Ship;
import larkbank.golden.Golden;
import larkbank.lading.RecordedLine;
import larkbank.lading.Scribe;
import larkbank.quay.Dispatcher;
import larkbank.quay.Freight;
import larkbank.quay.Load;
import larkbank.quay.Outcome;
import larkbank.quay.Reason;
import larkbank.quay.Ticket;
import org.junit.jupiter.api.Test;

/** The messages between two proxies: requests that are forwarded, and what became of them. */
class GoldenProxyMessagesTest {

    private static final String SENT_BY_CALLER = "messages/proxy-requests.txt";
    private static final String SENT_BY_SERVER_SIDE = "messages/proxy-responses.txt";
    private static final long NOW = 5_000_000;
    private static final long CALLER_LIFE = 1_000;
    private static final long SERVER_LIFE = 2_000;
    private static final byte[] BODY = "request body".getBytes(StandardCharsets.UTF_8);
    private static final byte[] ANSWER = "answer body".getBytes(StandardCharsets.UTF_8);
    private static final List<Map.Entry<String, String>> HEADERS =
            List.of(Map.entry("Accept", "*/*"), Map.entry("X-\u00e9", "1"));
    private static final Target TARGET = new Target(7, "proxy-2", SERVER_LIFE, "10.0.0.2:8", "instance-2", "zone-b");
    private static final Freight REQUEST = new Freight(
            "attempt-1",
            "POST",
            "/orders?x=1",
            HEADERS,
            BODY,
            true,
            3,
            true,
            NOW + 400_000,
            NOW + 900_000,
            "instance-2");
    private static final Ship INSTANCE = new Ship("instance-2", "till", "127.0.0.1:9000", 8, false, NOW + 60_000_000);
    private static final Berth REGISTRATION =
            new Berth("proxy-2", SERVER_LIFE, 4, "10.0.0.2:8", "10.0.0.2:9", "zone-b", "till", false, INSTANCE);

    /** Keeps what it is given; the test tells the outcome. */
    private static final class KeepingDispatcher implements Dispatcher {
        private final List<Freight> taken = new ArrayList<>();
        private final List<Consumer<Outcome>> ends = new ArrayList<>();

        @Override
        public Ticket take(Freight freight, Consumer<Outcome> end) {
            taken.add(freight);
            ends.add(end);
            return null;
        }

        @Override
        public void cancel(Ticket ticket) {}

        @Override
        public Load load() {
            return new Load(2, 1, 8);
        }
    }

    private final RecordedLine recorded = new RecordedLine(NOW);
    private final List<Reply> replies = new ArrayList<>();

    private Hops caller() {
        return new Hops(() -> NOW, "10.0.0.1:8", CALLER_LIFE, new KeepingDispatcher(), address -> recorded.line());
    }

    private static List<String> responses() {
        return Golden.text(SENT_BY_SERVER_SIDE).lines().toList();
    }

    @Test
    void requestsAreTheSame() {
        Hops caller = caller();
        recorded.line().send(caller.hello("proxy-1"));
        Carrier.Ride attempt = caller.send(TARGET, REQUEST, replies::add);
        attempt.cancel();
        Golden.assertSame(SENT_BY_CALLER, recorded.takeMessages());
    }

    private Landing serverSide(KeepingDispatcher dispatcher) {
        Landing landing = new Landing(() -> NOW, dispatcher, () -> REGISTRATION);
        for (String message : Golden.text(SENT_BY_CALLER).split("\n")) {
            String[] parts = message.split(" \\+ ");
            byte[] body = parts.length == 1 ? new byte[0] : parts[1].getBytes(StandardCharsets.UTF_8);
            landing.heard(recorded.line(), RecordedLine.head(parts[0]), body);
        }
        return landing;
    }

    @Test
    void requestsAreRead() {
        KeepingDispatcher dispatcher = new KeepingDispatcher();
        serverSide(dispatcher);
        assertThat(dispatcher.taken)
                .usingRecursiveFieldByFieldElementComparator()
                .containsExactly(REQUEST);
    }

    @Test
    void responsesAreTheSame() {
        KeepingDispatcher dispatcher = new KeepingDispatcher();
        Landing landing = serverSide(dispatcher);
        dispatcher.ends.get(0).accept(new Outcome.Answered(201, HEADERS, ANSWER));
        dispatcher.ends.get(0).accept(new Outcome.MayHaveRun("the connection broke"));
        for (Reason reason : Reason.values()) {
            dispatcher.ends.get(0).accept(new Outcome.NotRun(reason, 30_000));
        }
        landing.heard(recorded.line(), Scribe.map("t", "go", "n", 5_000, "life", SERVER_LIFE + 1), ANSWER);
        Golden.assertSame(SENT_BY_SERVER_SIDE, recorded.takeMessages());
    }

    @Test
    void registrationIsRead() {
        Map<String, Object> message = RecordedLine.head(responses().get(0));
        assertThat(message.get("t")).isEqualTo("berth");
        assertThat(Berth.of((Map<?, ?>) message.get("berth"), NOW)).isEqualTo(REGISTRATION);
    }

    @Test
    void responsesAreRead() {
        for (String response : responses().subList(1, responses().size())) {
            Hops caller = caller();
            caller.hello("proxy-1");
            caller.send(TARGET, REQUEST, replies::add);
            caller.greeted(recorded.line(), SERVER_LIFE);
            String[] parts = response.split(" \\+ ");
            Map<String, Object> message = RecordedLine.head(parts[0]);
            message.put("n", CALLER_LIFE + 2);
            caller.heard(recorded.line(), message, ANSWER);
        }
        List<Reply> expected = new ArrayList<>();
        Load load = new Load(2, 1, 8);
        expected.add(new Reply(new Outcome.Answered(201, HEADERS, ANSWER), load));
        expected.add(new Reply(new Outcome.MayHaveRun("the connection broke"), load));
        Stream.of(Reason.values()).forEach(reason -> expected.add(new Reply(new Outcome.NotRun(reason, 30_000), load)));
        expected.add(new Reply(new Outcome.NotRun(Reason.GONE, 0), null));
        assertThat(replies).usingRecursiveFieldByFieldElementComparator().containsExactlyElementsOf(expected);
    }
}
