package org.cypressweir.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.RecordedPeerConnection;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.SupersededVersion;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.testkit.SimulatedReplicas;
import org.junit.jupiter.api.Test;

/** The encoded messages of consensus: responses of one replica to fixed messages, and those of a run of three. */
class ConsensusMessagesTest {

    private static final String REPLIES = "messages/consensus-replies.txt";
    private static final String EXCHANGE = "messages/consensus-exchange.txt";
    private static final Set<String> KINDS = Set.of(
            "copies.prepare",
            "copies.promise",
            "copies.nack",
            "copies.accept",
            "copies.accepted",
            "copies.mismatch",
            "copies.decided",
            "copies.tell",
            "copies.teach",
            "copies.told",
            "copies.fetch",
            "copies.piece",
            "copies.gone",
            "copies.admit",
            "copies.leave");

    private static final String OWN = "10.0.0.1:7";
    private static final String PEER = "10.0.0.2:7/42";
    private static final List<String> VOTERS = List.of(OWN, PEER, "10.0.0.3:7");
    private static final ProposalNumber ACCEPTED = new ProposalNumber(9, PEER);
    private static final long NOW = 1_000_000;
    private static final long LIFE = 77;
    private static final long SEED = 11;
    private static final long SECOND = 1_000_000;

    private static final List<Item> ITEMS = List.of(
            new Item(
                    new ItemKey(ItemType.ROUTES, "orders"),
                    3,
                    Map.of("prefix", "/orders"),
                    List.of(new SupersededVersion(1, "0123456789abcdef"), new SupersededVersion(2, "-"))),
            new Item(new ItemKey(ItemType.TENANTS, "acme"), 1, Map.of("priority", 2L)),
            new Item(
                    new ItemKey(ItemType.SERVICES, "till"),
                    2,
                    null,
                    List.of(new SupersededVersion(1, "fedcba9876543210"))),
            new Item(ItemKey.LIMITS, 1, Map.of("perProxy", 100L)));
    private static final Item CHANGED = new Item(
            new ItemKey(ItemType.TENANTS, "acme"),
            2,
            Map.of("priority", 3L),
            List.of(new SupersededVersion(1, "0011223344556677")));

    /** A single replica whose writes to disk complete at once. */
    private static final class Replica {
        private final ConsensusReplica copies;
        private final List<String> lines = new ArrayList<>();

        Replica(boolean knowsState) {
            PersistentState stored =
                    knowsState ? new PersistentState(ACCEPTED, ACCEPTED, VOTERS, ITEMS, false, 0) : null;
            copies = new ConsensusReplica(
                    ConsensusOptions.defaults(), OWN, VOTERS, false, stored, LIFE, new SplittableRandom(SEED), NOW);
        }

        void receives(Map<String, Object> message) {
            String json = json(message);
            lines.add("< " + json);
            act(copies.received(NOW, PEER, RecordedPeerConnection.header(json)));
        }

        void leaves() {
            act(copies.leave(NOW));
        }

        private void act(List<Effect> effects) {
            for (Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    lines.add("> " + send.to() + " " + json(send.message()));
                } else if (effect instanceof Effect.Write write) {
                    act(copies.written(NOW, write.number(), true));
                }
            }
        }
    }

    private static String json(Map<String, ?> message) {
        return new String(JsonCodec.bytes(message), StandardCharsets.UTF_8);
    }

    private static Map<String, Object> accept(String ballot, ProposalNumber base, long sum) {
        return JsonCodec.map(
                "t",
                "copies.accept",
                "to",
                OWN,
                "b",
                ballot,
                "base",
                base.toString(),
                "whole",
                false,
                "sum",
                sum,
                "crew",
                VOTERS,
                "part",
                0L,
                "parts",
                1L,
                "items",
                List.of(CHANGED.toMap()));
    }

    private static List<String> repliesOfAcceptor() {
        long sum = Configuration.of(ITEMS).with(List.of(CHANGED)).checksum();
        Replica replica = new Replica(true);
        replica.receives(JsonCodec.map("t", "copies.prepare", "to", OWN, "b", "3@" + PEER));
        replica.receives(JsonCodec.map("t", "copies.prepare", "to", OWN, "b", "10@" + PEER));
        replica.receives(accept("10@" + PEER, ACCEPTED, sum + 1));
        replica.receives(accept("10@" + PEER, new ProposalNumber(8, PEER), sum));
        replica.receives(JsonCodec.map(
                "t", "copies.fetch", "b", ACCEPTED.toString(), "ask", 5L, "part", 0L, "has", List.of("0@")));
        replica.receives(accept("10@" + PEER, ACCEPTED, sum));
        replica.receives(JsonCodec.map(
                "t", "copies.fetch", "b", "10@" + PEER, "ask", 6L, "part", 0L, "has", List.of(ACCEPTED.toString())));
        replica.receives(JsonCodec.map("t", "copies.fetch", "b", "4@" + PEER, "ask", 7L, "part", 0L, "has", List.of()));
        replica.receives(JsonCodec.map("t", "copies.teach", "life", 5L));
        replica.receives(JsonCodec.map(
                "t",
                "copies.tell",
                "life",
                4L,
                "accepted",
                "10@" + PEER,
                "decided",
                ACCEPTED.toString(),
                "crew",
                VOTERS,
                "forgetful",
                false,
                "hearsay",
                false,
                "number",
                3L,
                "probe",
                true,
                "echoLife",
                LIFE,
                "echo",
                1L));
        replica.receives(JsonCodec.map("t", "copies.leave", "life", 4L));
        replica.leaves();
        return replica.lines;
    }

    private static List<String> repliesOfEmptyReplica() {
        Replica replica = new Replica(false);
        replica.receives(JsonCodec.map("t", "copies.teach", "life", 5L));
        replica.receives(JsonCodec.map("t", "copies.prepare", "to", OWN, "b", "10@" + PEER));
        replica.receives(JsonCodec.map(
                "t",
                "copies.tell",
                "life",
                4L,
                "accepted",
                "10@" + PEER,
                "decided",
                "10@" + PEER,
                "crew",
                VOTERS,
                "forgetful",
                false,
                "hearsay",
                false,
                "number",
                3L,
                "probe",
                true,
                "echoLife",
                0L,
                "echo",
                0L));
        return replica.lines;
    }

    /** By kind, the first message sent in a run of three replicas, one of which is replaced. */
    private static Map<String, String> firstOfEachKind() {
        Map<String, String> first = new TreeMap<>();
        SimulatedReplicas world = new SimulatedReplicas(SEED, 3);
        world.onSent = message -> first.putIfAbsent(String.valueOf(message.get("t")), json(message));
        world.run(SECOND);
        world.await(world.submit(world.replica(1), tenant("acme", 1), SECOND));
        world.crash(world.replica(3));
        world.await(world.submit(world.replica(2), tenant("till", 2), SECOND));
        world.start(3);
        world.run(SECOND);
        world.wipe(world.replica(1));
        world.start(4);
        world.run(20 * SECOND);
        world.await(world.submit(world.replica(2), tenant("acme", 3), SECOND));
        world.run(SECOND);
        assertThat(world.checks().violation()).isNull();
        return first;
    }

    private static String tenant(String name, int version) {
        return "{\"upsert\":{\"tenantTable\":{\"" + name + "\":{\"apiKeys\":[\"" + name + "\"],\"configVersion\":\"r"
                + version + "\"}}}}";
    }

    @Test
    void repliesAreTheSame() {
        Golden.assertSame(
                REPLIES,
                Stream.concat(repliesOfAcceptor().stream(), repliesOfEmptyReplica().stream())
                        .toList());
    }

    @Test
    void messagesOfAnExchangeAreTheSame() {
        Golden.assertSame(EXCHANGE, List.copyOf(firstOfEachKind().values()));
    }

    @Test
    void eachKindIsPinned() {
        String all = Golden.text(REPLIES) + Golden.text(EXCHANGE);
        assertThat(KINDS).allSatisfy(kind -> assertThat(all).contains("{\"t\":\"" + kind + "\""));
    }
}
