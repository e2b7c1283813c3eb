package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.RecordedPeerConnection;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestDispatcher;
import org.cypressweir.dataplane.http.upstream.RequestHandle;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.Test;

/** The messages between two proxies: requests that are forwarded, and what became of them. */
class GoldenProxyMessagesTest {

    private static final String SENT_BY_CALLER = "messages/proxy-requests.txt";
    private static final String SENT_BY_SERVER_SIDE = "messages/proxy-responses.txt";
    private static final long NOW = 5_000_000;
    private static final long CALLER_INCARNATION = 1_000;
    private static final long SERVER_INCARNATION = 2_000;
    private static final byte[] BODY = "request body".getBytes(StandardCharsets.UTF_8);
    private static final byte[] RESPONSE_BODY = "answer body".getBytes(StandardCharsets.UTF_8);
    private static final List<Map.Entry<String, String>> HEADERS =
            List.of(Map.entry("Accept", "*/*"), Map.entry("X-\u00e9", "1"));
    private static final Endpoint ENDPOINT =
            new Endpoint(7, "proxy-2", SERVER_INCARNATION, "10.0.0.2:8", "instance-2", "zone-b");
    private static final UpstreamRequest REQUEST = new UpstreamRequest(
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
    private static final ApplicationInstance INSTANCE =
            new ApplicationInstance("instance-2", "till", "127.0.0.1:9000", 8, false, NOW + 60_000_000);
    private static final ProxyRegistration REGISTRATION = new ProxyRegistration(
            "proxy-2", SERVER_INCARNATION, 4, "10.0.0.2:8", "10.0.0.2:9", "zone-b", "till", false, INSTANCE);

    /** Keeps the requests; the test completes them. */
    private static final class KeepingDispatcher implements RequestDispatcher {
        private final List<UpstreamRequest> taken = new ArrayList<>();
        private final List<Consumer<RequestOutcome>> callbacks = new ArrayList<>();

        @Override
        public RequestHandle submit(UpstreamRequest request, Consumer<RequestOutcome> callback) {
            taken.add(request);
            callbacks.add(callback);
            return null;
        }

        @Override
        public void cancel(RequestHandle handle) {}

        @Override
        public UpstreamLoad load() {
            return new UpstreamLoad(2, 1, 8);
        }
    }

    private final RecordedPeerConnection recorded = new RecordedPeerConnection(NOW);
    private final List<AttemptResult> results = new ArrayList<>();

    private PeerForwarder caller() {
        return new PeerForwarder(
                () -> NOW, "10.0.0.1:8", CALLER_INCARNATION, new KeepingDispatcher(), address -> recorded.connection());
    }

    private static List<String> responses() {
        return Golden.text(SENT_BY_SERVER_SIDE).lines().toList();
    }

    @Test
    void requestsAreTheSame() {
        PeerForwarder caller = caller();
        recorded.connection().send(caller.hello("proxy-1"));
        AttemptTransport.Handle attempt = caller.send(ENDPOINT, REQUEST, results::add);
        attempt.cancel();
        Golden.assertSame(SENT_BY_CALLER, recorded.takeMessages());
    }

    private PeerRequestReceiver serverSide(KeepingDispatcher dispatcher) {
        PeerRequestReceiver receiver = new PeerRequestReceiver(() -> NOW, dispatcher, () -> REGISTRATION);
        for (String message : Golden.text(SENT_BY_CALLER).split("\n")) {
            String[] parts = message.split(" \\+ ");
            byte[] body = parts.length == 1 ? new byte[0] : parts[1].getBytes(StandardCharsets.UTF_8);
            receiver.received(recorded.connection(), RecordedPeerConnection.header(parts[0]), body);
        }
        return receiver;
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
        PeerRequestReceiver receiver = serverSide(dispatcher);
        dispatcher.callbacks.get(0).accept(new RequestOutcome.Responded(201, HEADERS, RESPONSE_BODY));
        dispatcher.callbacks.get(0).accept(new RequestOutcome.MayHaveRun("the connection broke"));
        for (RejectionReason reason : RejectionReason.values()) {
            dispatcher.callbacks.get(0).accept(new RequestOutcome.NotRun(reason, 30_000));
        }
        receiver.received(
                recorded.connection(),
                JsonCodec.map("t", "go", "n", 5_000, "life", SERVER_INCARNATION + 1),
                RESPONSE_BODY);
        Golden.assertSame(SENT_BY_SERVER_SIDE, recorded.takeMessages());
    }

    @Test
    void registrationIsRead() {
        Map<String, Object> message = RecordedPeerConnection.header(responses().get(0));
        assertThat(message.get("t")).isEqualTo("berth");
        assertThat(ProxyRegistration.of((Map<?, ?>) message.get("berth"), NOW)).isEqualTo(REGISTRATION);
    }

    @Test
    void responsesAreRead() {
        for (String response : responses().subList(1, responses().size())) {
            PeerForwarder caller = caller();
            caller.hello("proxy-1");
            caller.send(ENDPOINT, REQUEST, results::add);
            caller.incarnationReceived(recorded.connection(), SERVER_INCARNATION);
            String[] parts = response.split(" \\+ ");
            Map<String, Object> message = RecordedPeerConnection.header(parts[0]);
            message.put("n", CALLER_INCARNATION + 2);
            caller.responseReceived(recorded.connection(), (PeerMessage.ForwardedResponse)
                    PeerMessageCodec.decode(message, RESPONSE_BODY, NOW));
        }
        List<AttemptResult> expected = new ArrayList<>();
        UpstreamLoad load = new UpstreamLoad(2, 1, 8);
        expected.add(new AttemptResult(new RequestOutcome.Responded(201, HEADERS, RESPONSE_BODY), load));
        expected.add(new AttemptResult(new RequestOutcome.MayHaveRun("the connection broke"), load));
        Stream.of(RejectionReason.values())
                .forEach(reason -> expected.add(new AttemptResult(new RequestOutcome.NotRun(reason, 30_000), load)));
        expected.add(new AttemptResult(new RequestOutcome.NotRun(RejectionReason.GONE, 0), null));
        assertThat(results).usingRecursiveFieldByFieldElementComparator().containsExactlyElementsOf(expected);
    }
}
