package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.InflaterInputStream;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.RecordedPeerConnection;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.distribution.ItemChunks;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a controller sends to proxies, and which of their messages it reads. */
class GoldenControllerMessagesTest {

    private static final long NOW = 5_000_000;
    private static final long INCARNATION = 900;
    private static final long CONFIRMED_AGE = 40;
    private static final ProposalNumber FIRST = new ProposalNumber(3, "10.0.0.1:7");
    private static final ProposalNumber SECOND = new ProposalNumber(4, "10.0.0.2:7/42");
    private static final List<String> VOTERS = List.of("10.0.0.1:7", "10.0.0.2:7/42");
    private static final List<Item> ITEMS = List.of(
            new Item(new ItemKey(ItemType.ROUTES, "orders"), 1, Map.of("prefix", "/orders")),
            new Item(new ItemKey(ItemType.TENANTS, "acme"), 1, Map.of("priority", 2L)),
            new Item(new ItemKey(ItemType.SERVICES, "till"), 1, Map.of("healthPath", "/healthz")),
            new Item(ItemKey.LIMITS, 1, Map.of("perProxy", 100L)));
    private static final Item WITHDRAWN = new Item(new ItemKey(ItemType.SERVICES, "till"), 2, null);
    private static final ProxyRegistration REGISTRATION = new ProxyRegistration(
            "proxy-1",
            2_000,
            4,
            "10.0.0.5:8",
            "10.0.0.5:9",
            "zone-b",
            "till",
            false,
            new ApplicationInstance("instance-1", "till", "127.0.0.1:9000", 8, true, 0));
    private static final ProxyRegistration WITHOUT_INSTANCE =
            new ProxyRegistration("proxy-2", 2_001, 1, "10.0.0.6:8", "", "zone-a", "", true, null);

    private final RecordedPeerConnection recorded = new RecordedPeerConnection(NOW);
    private final List<String> lines = new ArrayList<>();
    private UpdatePublisher publisher;

    @BeforeEach
    void start() {
        publisher = new UpdatePublisher(
                () -> NOW,
                INCARNATION,
                "10.0.0.1:9",
                () -> CONFIRMED_AGE,
                new QuotaCoordinator(0),
                new RolloutDriver(() -> NOW, () -> null));
    }

    private void receives(String json) {
        lines.add("< " + json);
        publisher.received(recorded.connection(), RecordedPeerConnection.header(json));
        take();
    }

    private void take() {
        recorded.takeMessages().forEach(message -> lines.add("> " + message));
    }

    private static String registration(ProxyRegistration registration) {
        return new String(
                JsonCodec.bytes(JsonCodec.map("t", "berth", "berth", registration.toMap(NOW))), StandardCharsets.UTF_8);
    }

    @Test
    void messagesAreTheSame() {
        publisher.committed(FIRST, Configuration.of(ITEMS), VOTERS);
        publisher.connected(recorded.connection(), "proxy-1");
        take();
        receives(registration(REGISTRATION));
        receives("{\"t\":\"follow\",\"life\":0,\"place\":-1}");
        receives("{\"t\":\"follow\",\"life\":900,\"place\":0}");
        receives(registration(WITHOUT_INSTANCE));
        receives("{\"t\":\"contact\",\"asked\":4000000}");
        receives("{\"t\":\"tally\",\"asked\":{\"acme\":2.5,\"till\":1.25},\"whole\":true}");
        receives("{\"t\":\"sums\",\"on\":true}");
        publisher.publishDemand();
        take();
        publisher.committed(SECOND, Configuration.of(ITEMS).with(List.of(WITHDRAWN)), VOTERS);
        take();
        publisher.tick();
        take();
        receives("{\"t\":\"quota.surplus\",\"tokens\":{\"acme\":3}}");
        receives("{\"t\":\"quota.request\",\"tenant\":\"acme\",\"count\":2}");
        receives("{\"t\":\"quota.proxies\",\"count\":5}");
        publisher.tick();
        take();
        Golden.assertSame("messages/controller-to-proxy.txt", lines);
    }

    /** The body is compressed: what counts is what it holds. */
    @Test
    void itemsAreTheSame() throws Exception {
        publisher.committed(FIRST, Configuration.of(ITEMS), VOTERS);
        publisher.committed(SECOND, Configuration.of(ITEMS).with(List.of(WITHDRAWN)), VOTERS);
        publisher.connected(recorded.connection(), "proxy-1");
        recorded.takeFrames();
        for (String version : List.of("0@", FIRST.toString())) {
            publisher.received(
                    recorded.connection(),
                    RecordedPeerConnection.header("{\"t\":\"want\",\"have\":\"" + version + "\"}"));
            takeItems();
        }
        Golden.assertSame("messages/controller-items.txt", lines);
    }

    private void takeItems() throws Exception {
        for (String frame : recorded.takeFrames()) {
            byte[] bytes = HexFormat.of().parseHex(frame);
            int headLength = ByteBuffer.wrap(bytes, 4, 4).getInt();
            lines.add(new String(bytes, 8, headLength, StandardCharsets.UTF_8));
            byte[] body = Arrays.copyOfRange(bytes, 8 + headLength, bytes.length);
            lines.add(inflated(body));
            assertThat(ItemChunks.unpack(body)).isNotEmpty();
        }
    }

    private static String inflated(byte[] body) throws Exception {
        try (var in = new InflaterInputStream(new ByteArrayInputStream(body))) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The answer to the call for the state, which the command line tool reads. */
    @Test
    void stateIsTheSame() {
        publisher.committed(FIRST, Configuration.of(ITEMS), VOTERS);
        publisher.connected(recorded.connection(), "proxy-1");
        receives(registration(REGISTRATION));
        receives(registration(WITHOUT_INSTANCE));
        PersistentState stored = new PersistentState(FIRST, FIRST, VOTERS, ITEMS, false, 0);
        ConsensusReplica replica = new ConsensusReplica(
                ConsensusOptions.defaults(),
                VOTERS.get(0),
                VOTERS,
                false,
                stored,
                INCARNATION,
                new SplittableRandom(1),
                NOW);
        Map<String, Object> state = ControllerStatus.of(
                NOW,
                new ControllerIdentity("controller-1", "10.0.0.1:9", "10.0.0.1:7", INCARNATION),
                List.of(),
                replica,
                publisher,
                true);
        Golden.assertSame(
                "messages/controller-state.txt", List.of(new String(JsonCodec.bytes(state), StandardCharsets.UTF_8)));
    }
}
