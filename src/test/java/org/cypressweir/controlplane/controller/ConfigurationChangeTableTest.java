package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.SimulatedReplicas;
import org.junit.jupiter.api.Test;

/** The page's tables of orders are what the code does; -Dorders.table=write puts them there anew. */
class ConfigurationChangeTableTest {

    private static final Path PAGE = Path.of("docs/design/orders.md");
    private static final long PATIENCE = 3_000_000;
    private static final long FLOOR = 3;

    /** What a call says of one item. */
    private enum Part {
        NEW(10, 10, true),
        NEW_AND_INVALID(10, 10, false),
        STANDS(9, 9, true),
        STANDS_OTHERWISE(9, 1, true),
        SUPERSEDED(5, 5, true),
        SUPERSEDED_OTHERWISE(5, 1, true),
        PASSED(7, 7, true),
        PASSED_AND_INVALID(7, 7, false),
        FORGOTTEN(2, 2, true);

        private final long version;
        private final int which;
        private final boolean valid;

        Part(long version, int which, boolean valid) {
            this.version = version;
            this.which = which;
            this.valid = valid;
        }

        private String of(String tenant) {
            return "\"" + tenant + "\":{\"apiKeys\":[\"" + tenant + which + "\"],\"ratePerS\":" + (valid ? 1 : -1)
                    + ",\"configVersion\":\"r" + version + "\"}";
        }

        private String title() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** One harbour, the whole crew; r9 of two tenants stands after r5, and r3 is the floor. */
    private static final class Alone {
        private final ConsensusReplica copies;
        private ProposalResult result;

        private Alone() {
            PersistentState before = new PersistentState(
                    new ProposalNumber(1, "h"),
                    new ProposalNumber(1, "h"),
                    List.of("h"),
                    List.of(item("a"), item("b")),
                    false);
            copies = new ConsensusReplica(
                    ConsensusOptions.usual(), "h", List.of("h"), false, before, 1, new SplittableRandom(1), 0);
            act(copies.start(0));
            send(null);
        }

        private static Item item(String tenant) {
            Item first = order(Part.SUPERSEDED.of(tenant)).items().get(0);
            Item five = new Item(first.key(), first.version(), first.content(), List.of(), FLOOR);
            ConsensusReplica one = new ConsensusReplica(
                    ConsensusOptions.usual(),
                    "h",
                    List.of("h"),
                    false,
                    new PersistentState(
                            new ProposalNumber(1, "h"), new ProposalNumber(1, "h"), List.of("h"), List.of(five), false),
                    1,
                    new SplittableRandom(1),
                    0);
            act(one, one.start(0));
            act(one, one.submit(0, 1, order(Part.STANDS.of(tenant)), PATIENCE));
            return one.committed().configuration().get(first.key());
        }

        private int send(ConfigurationChange order) {
            act(copies.submit(0, 1, order, PATIENCE));
            return OperatorApiHandler.answer(result).status();
        }

        private Map<String, Object> layout() {
            return copies.committed().configuration().layout();
        }

        private void act(List<Effect> effects) {
            ProposalResult given = act(copies, effects);
            result = given == null ? result : given;
        }

        private static ProposalResult act(ConsensusReplica copies, List<Effect> effects) {
            Deque<Effect> due = new ArrayDeque<>(effects);
            ProposalResult result = null;
            for (Effect effect; (effect = due.poll()) != null; ) {
                if (effect instanceof Effect.Write write) {
                    due.addAll(copies.written(0, write.number(), true));
                } else if (effect instanceof Effect.Answer answer) {
                    result = answer.result();
                }
            }
            return result;
        }
    }

    private static ConfigurationChange order(String... parts) {
        return ConfigurationChange.read(("{\"upsert\":{\"tenantTable\":{" + String.join(",", parts) + "}}}")
                        .getBytes(StandardCharsets.UTF_8))
                .get();
    }

    /** The answer, in bold where something comes into force. Sent again at once it is the same. */
    private static String answer(String... parts) {
        Alone harbour = new Alone();
        Map<String, Object> before = harbour.layout();
        int status = harbour.send(order(parts));
        Map<String, Object> after = harbour.layout();
        assertThat(harbour.send(order(parts))).as(List.of(parts).toString()).isEqualTo(status);
        assertThat(harbour.layout()).isEqualTo(after);
        return status != 200 || after.equals(before) ? Integer.toString(status) : "**" + status + "**";
    }

    private static String calls() {
        StringBuilder table = new StringBuilder("| one item is | alone |");
        for (Part second : Part.values()) {
            table.append(" and ").append(second.title()).append(" |");
        }
        table.append("\n|").append(" --- |".repeat(2 + Part.values().length)).append('\n');
        for (Part first : Part.values()) {
            table.append("| ")
                    .append(first.title())
                    .append(" | ")
                    .append(answer(first.of("a")))
                    .append(" |");
            for (Part second : Part.values()) {
                String answer = answer(first.of("a"), second.of("b"));
                assertThat(answer)
                        .isEqualTo(answer(first.of("b"), second.of("a")))
                        .isEqualTo(answer(second.of("a"), first.of("b")));
                table.append(' ').append(answer).append(" |");
            }
            table.append('\n');
        }
        return table.toString();
    }

    /** What may have become of an order whose answer was lost, before it is sent again to another harbour. */
    private enum Lost {
        AGREED("it was agreed"),
        ONE_DISK("it is on one disk alone, whose harbour is down"),
        CUT_OFF("it is on one disk alone, whose harbour is cut off"),
        TWO_DISKS("it is on two disks of three, and the harbour that asked is down"),
        WIPED("it was agreed, and the disk of the harbour that was asked is lost"),
        NEWER("it is on one disk alone, whose harbour is down; a newer version was agreed since"),
        AGREED_NEWER("it was agreed, and a newer version since"),
        OTHER("it is on one disk alone, whose harbour is down; another content was agreed at its version");

        private final String title;

        Lost(String title) {
            this.title = title;
        }
    }

    private static String tenant(long version, String key) {
        return "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"" + key + "\"],\"configVersion\":\"r" + version
                + "\"}}}}";
    }

    private static void until(SimulatedReplicas world, BooleanSupplier holds) {
        for (int i = 0; i < 10_000 && !holds.getAsBoolean(); i++) {
            world.run(100);
        }
        assertThat(holds.getAsBoolean()).isTrue();
    }

    private static boolean writesIt(SimulatedReplicas world, int harbour) {
        return world.writing(world.replica(harbour)) != null
                && world.writing(world.replica(harbour)).items().stream().anyMatch(i -> i.version() == 5);
    }

    private static void cutOff(SimulatedReplicas world) {
        for (int other = 2; other <= 3; other++) {
            world.cut(world.replica(1).address(), world.replica(other).address());
            world.cut(world.replica(other).address(), world.replica(1).address());
        }
    }

    private static String again(Lost lost) {
        SimulatedReplicas world = new SimulatedReplicas(lost.ordinal(), 3);
        world.run(500_000);
        assertThat(world.await(world.submit(world.replica(3), tenant(4, "first"), PATIENCE)))
                .isInstanceOf(ProposalResult.Taken.class);
        world.run(500_000);
        long first = world.submit(world.replica(1), tenant(5, "it"), PATIENCE);
        if (lost == Lost.AGREED || lost == Lost.WIPED || lost == Lost.AGREED_NEWER) {
            assertThat(world.await(first)).isInstanceOf(ProposalResult.Taken.class);
        } else {
            until(world, () -> writesIt(world, 1));
            if (lost == Lost.TWO_DISKS) {
                world.cut(world.replica(1).address(), world.replica(3).address());
                until(world, () -> writesIt(world, 2));
                until(world, () -> !writesIt(world, 2));
            } else {
                cutOff(world);
                until(world, () -> !writesIt(world, 1));
            }
            if (lost != Lost.CUT_OFF) {
                world.crash(world.replica(1));
            }
        }
        if (lost == Lost.WIPED) {
            world.wipe(world.replica(1));
        }
        if (lost == Lost.NEWER || lost == Lost.AGREED_NEWER || lost == Lost.OTHER) {
            String other = lost == Lost.OTHER ? tenant(5, "other") : tenant(6, "newer");
            assertThat(world.await(world.submit(world.replica(3), other, PATIENCE)))
                    .isInstanceOf(ProposalResult.Taken.class);
        }
        long second = world.submit(world.replica(2), tenant(5, "it"), PATIENCE);
        int status = OperatorApiHandler.answer(world.await(second)).status();
        world.heal();
        if (!world.replica(1).up()) {
            world.start(1);
        }
        world.run(8_000_000);
        List<Object> stands = new ArrayList<>();
        for (int harbour = 1; harbour <= 3; harbour++) {
            stands.add(world.replica(harbour)
                    .consensus()
                    .committed()
                    .configuration()
                    .get(new ItemKey(ItemType.TENANTS, "t"))
                    .content()
                    .get("apiKeys"));
            long third = world.submit(world.replica(harbour), tenant(5, "it"), PATIENCE);
            assertThat(OperatorApiHandler.answer(world.await(third)).status()).isEqualTo(status);
        }
        assertThat(world.checks().breach()).isNull();
        assertThat(stands.stream().distinct()).hasSize(1);
        return status + " | " + stands.get(0).toString().replaceAll("[\\[\\]]", "");
    }

    private static String lost() {
        StringBuilder table = new StringBuilder(
                "| the answer was lost, and | sent again elsewhere | what stands then |\n" + "| --- | --- | --- |\n");
        for (Lost lost : Lost.values()) {
            table.append("| ")
                    .append(lost.title)
                    .append(" | ")
                    .append(again(lost))
                    .append(" |\n");
        }
        return table.toString();
    }

    private static void held(String name, String table) throws IOException {
        String begin = "<!-- " + name + ": begin -->\n";
        String page = Files.readString(PAGE);
        int from = page.indexOf(begin) + begin.length();
        int to = page.indexOf("<!-- " + name + ": end -->\n");
        if ("write".equals(System.getProperty("orders.table"))) {
            Files.writeString(PAGE, page.substring(0, from) + table + page.substring(to));
        } else {
            assertThat(page.substring(from, to)).isEqualTo(table);
        }
    }

    @Test
    void thePageSaysWhatTheCodeDoes() throws IOException {
        held("calls", calls());
        held("lost answers", lost());
    }
}
