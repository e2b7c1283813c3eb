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

/** Checks the tables of the design page against the code; with -Dorders.table=write it rewrites them instead. */
class ConfigurationChangeTableTest {

    private static final Path PAGE = Path.of("docs/design/configuration-changes.md");
    private static final long TIMEOUT_MICROS = 3_000_000;
    private static final long FLOOR = 3;

    /**
     * One item of a configuration change, in relation to the committed items: version 9 is committed, version 5 was
     * committed before it, 7 never was, and 3 is the oldest version whose history is kept. Lower-case names are printed
     * in the table.
     */
    private enum ItemCase {
        NEW(10, 10, true),
        NEW_AND_INVALID(10, 10, false),
        /** The committed version with the committed content. */
        STANDS(9, 9, true),
        /** The committed version with another content. */
        STANDS_OTHERWISE(9, 1, true),
        /** A version that was committed earlier, with its content. */
        SUPERSEDED(5, 5, true),
        /** A version that was committed earlier, with another content. */
        SUPERSEDED_OTHERWISE(5, 1, true),
        /** A version below the committed one that was skipped. */
        PASSED(7, 7, true),
        PASSED_AND_INVALID(7, 7, false),
        /** A version so old that its history is no longer kept. */
        FORGOTTEN(2, 2, true);

        private final long version;
        private final int content;
        private final boolean valid;

        ItemCase(long version, int content, boolean valid) {
            this.version = version;
            this.content = content;
            this.valid = valid;
        }

        private String json(String tenant) {
            return "\"" + tenant + "\":{\"apiKeys\":[\"" + tenant + content + "\"],\"ratePerS\":" + (valid ? 1 : -1)
                    + ",\"configVersion\":\"r" + version + "\"}";
        }

        private String title() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** A controller that is the only voter; for two tenants r9 was committed after r5, and the floor is r3. */
    private static final class SingleController {
        private final ConsensusReplica replica;
        private ProposalResult result;

        private SingleController() {
            PersistentState before = new PersistentState(
                    new ProposalNumber(1, "h"),
                    new ProposalNumber(1, "h"),
                    List.of("h"),
                    List.of(item("a"), item("b")),
                    false);
            replica = new ConsensusReplica(
                    ConsensusOptions.defaults(), "h", List.of("h"), false, before, 1, new SplittableRandom(1), 0);
            execute(replica.start(0));
            submit(null);
        }

        private static Item item(String tenant) {
            Item superseded = change(ItemCase.SUPERSEDED.json(tenant)).items().get(0);
            Item withFloor = new Item(superseded.key(), superseded.version(), superseded.content(), List.of(), FLOOR);
            ConsensusReplica previous = new ConsensusReplica(
                    ConsensusOptions.defaults(),
                    "h",
                    List.of("h"),
                    false,
                    new PersistentState(
                            new ProposalNumber(1, "h"),
                            new ProposalNumber(1, "h"),
                            List.of("h"),
                            List.of(withFloor),
                            false),
                    1,
                    new SplittableRandom(1),
                    0);
            execute(previous, previous.start(0));
            execute(previous, previous.submit(0, 1, change(ItemCase.STANDS.json(tenant)), TIMEOUT_MICROS));
            return previous.committed().configuration().get(superseded.key());
        }

        private int submit(ConfigurationChange change) {
            execute(replica.submit(0, 1, change, TIMEOUT_MICROS));
            return OperatorApiHandler.answer(result).status();
        }

        private Map<String, Object> layout() {
            return replica.committed().configuration().layout();
        }

        private void execute(List<Effect> effects) {
            ProposalResult latest = execute(replica, effects);
            result = latest == null ? result : latest;
        }

        private static ProposalResult execute(ConsensusReplica replica, List<Effect> effects) {
            Deque<Effect> queue = new ArrayDeque<>(effects);
            ProposalResult result = null;
            for (Effect effect; (effect = queue.poll()) != null; ) {
                if (effect instanceof Effect.Write write) {
                    queue.addAll(replica.written(0, write.number(), true));
                } else if (effect instanceof Effect.Answer answer) {
                    result = answer.result();
                }
            }
            return result;
        }
    }

    private static ConfigurationChange change(String... parts) {
        return ConfigurationChange.read(("{\"upsert\":{\"tenantTable\":{" + String.join(",", parts) + "}}}")
                        .getBytes(StandardCharsets.UTF_8))
                .get();
    }

    /** The status of the response, in bold if the configuration changes. Checks that a retry gets the same response. */
    private static String answer(String... parts) {
        SingleController controller = new SingleController();
        Map<String, Object> before = controller.layout();
        int status = controller.submit(change(parts));
        Map<String, Object> after = controller.layout();
        assertThat(controller.submit(change(parts)))
                .as(List.of(parts).toString())
                .isEqualTo(status);
        assertThat(controller.layout()).isEqualTo(after);
        return status != 200 || after.equals(before) ? Integer.toString(status) : "**" + status + "**";
    }

    private static String callsTable() {
        StringBuilder table = new StringBuilder("| one item is | alone |");
        for (ItemCase second : ItemCase.values()) {
            table.append(" and ").append(second.title()).append(" |");
        }
        table.append("\n|")
                .append(" --- |".repeat(2 + ItemCase.values().length))
                .append('\n');
        for (ItemCase first : ItemCase.values()) {
            table.append("| ")
                    .append(first.title())
                    .append(" | ")
                    .append(answer(first.json("a")))
                    .append(" |");
            for (ItemCase second : ItemCase.values()) {
                String answer = answer(first.json("a"), second.json("b"));
                assertThat(answer)
                        .isEqualTo(answer(first.json("b"), second.json("a")))
                        .isEqualTo(answer(second.json("a"), first.json("b")));
                table.append(' ').append(answer).append(" |");
            }
            table.append('\n');
        }
        return table.toString();
    }

    /** The state of a change whose response was lost, before it is retried at another controller. */
    private enum LostAnswer {
        AGREED("it was committed"),
        ONE_DISK("it is on one disk only, whose controller is down"),
        CUT_OFF("it is on one disk only, whose controller is partitioned"),
        TWO_DISKS("it is on two disks of three, and the controller that proposed it is down"),
        WIPED("it was committed, and the disk of the controller that proposed it is lost"),
        NEWER("it is on one disk only, whose controller is down; a newer version was committed since"),
        AGREED_NEWER("it was committed, and a newer version since"),
        OTHER("it is on one disk only, whose controller is down; another content was committed at its version");

        private final String title;

        LostAnswer(String title) {
            this.title = title;
        }
    }

    private static String tenant(long version, String key) {
        return "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"" + key + "\"],\"configVersion\":\"r" + version
                + "\"}}}}";
    }

    private static void runUntil(SimulatedReplicas simulation, BooleanSupplier condition) {
        for (int i = 0; i < 10_000 && !condition.getAsBoolean(); i++) {
            simulation.run(100);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private static boolean writesChange(SimulatedReplicas simulation, int controller) {
        return simulation.writing(simulation.replica(controller)) != null
                && simulation.writing(simulation.replica(controller)).items().stream()
                        .anyMatch(i -> i.version() == 5);
    }

    private static void partitionFirst(SimulatedReplicas simulation) {
        for (int other = 2; other <= 3; other++) {
            simulation.block(
                    simulation.replica(1).address(), simulation.replica(other).address());
            simulation.block(
                    simulation.replica(other).address(), simulation.replica(1).address());
        }
    }

    /** Simulates the case with three controllers; returns the status of the retry and the content committed then. */
    private static String statusAndContentAfterRetry(LostAnswer lostAnswer) {
        SimulatedReplicas simulation = new SimulatedReplicas(lostAnswer.ordinal(), 3);
        simulation.run(500_000);
        commit(simulation, tenant(4, "first"));
        simulation.run(500_000);
        loseAnswer(simulation, lostAnswer);
        if (lostAnswer == LostAnswer.NEWER || lostAnswer == LostAnswer.AGREED_NEWER) {
            commit(simulation, tenant(6, "newer"));
        } else if (lostAnswer == LostAnswer.OTHER) {
            commit(simulation, tenant(5, "other"));
        }
        int status = retry(simulation, 2);
        simulation.heal();
        if (!simulation.replica(1).isRunning()) {
            simulation.start(1);
        }
        simulation.run(8_000_000);
        List<Object> committed = new ArrayList<>();
        for (int controller = 1; controller <= 3; controller++) {
            committed.add(committedKeys(simulation, controller));
            assertThat(retry(simulation, controller)).isEqualTo(status);
        }
        assertThat(simulation.checks().violation()).isNull();
        assertThat(committed.stream().distinct()).hasSize(1);
        return status + " | " + committed.get(0).toString().replaceAll("[\\[\\]]", "");
    }

    private static void commit(SimulatedReplicas simulation, String change) {
        assertThat(simulation.await(simulation.submit(simulation.replica(3), change, TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Committed.class);
    }

    /** Sends the change to the first controller and loses its response as the case describes. */
    private static void loseAnswer(SimulatedReplicas simulation, LostAnswer lostAnswer) {
        long first = simulation.submit(simulation.replica(1), tenant(5, "it"), TIMEOUT_MICROS);
        if (lostAnswer == LostAnswer.AGREED
                || lostAnswer == LostAnswer.WIPED
                || lostAnswer == LostAnswer.AGREED_NEWER) {
            assertThat(simulation.await(first)).isInstanceOf(ProposalResult.Committed.class);
        } else {
            interruptWrite(simulation, lostAnswer);
        }
        if (lostAnswer == LostAnswer.WIPED) {
            simulation.wipe(simulation.replica(1));
        }
    }

    private static void interruptWrite(SimulatedReplicas simulation, LostAnswer lostAnswer) {
        runUntil(simulation, () -> writesChange(simulation, 1));
        if (lostAnswer == LostAnswer.TWO_DISKS) {
            simulation.block(
                    simulation.replica(1).address(), simulation.replica(3).address());
            runUntil(simulation, () -> writesChange(simulation, 2));
            runUntil(simulation, () -> !writesChange(simulation, 2));
        } else {
            partitionFirst(simulation);
            runUntil(simulation, () -> !writesChange(simulation, 1));
        }
        if (lostAnswer != LostAnswer.CUT_OFF) {
            simulation.crash(simulation.replica(1));
        }
    }

    private static int retry(SimulatedReplicas simulation, int controller) {
        long change = simulation.submit(simulation.replica(controller), tenant(5, "it"), TIMEOUT_MICROS);
        return OperatorApiHandler.answer(simulation.await(change)).status();
    }

    private static Object committedKeys(SimulatedReplicas simulation, int controller) {
        return simulation
                .replica(controller)
                .consensus()
                .committed()
                .configuration()
                .get(new ItemKey(ItemType.TENANTS, "t"))
                .content()
                .get("apiKeys");
    }

    private static String lostAnswersTable() {
        StringBuilder table = new StringBuilder(
                "| the response was lost, and | retried elsewhere | committed then |\n" + "| --- | --- | --- |\n");
        for (LostAnswer lostAnswer : LostAnswer.values()) {
            table.append("| ")
                    .append(lostAnswer.title)
                    .append(" | ")
                    .append(statusAndContentAfterRetry(lostAnswer))
                    .append(" |\n");
        }
        return table.toString();
    }

    private static void checkTable(String name, String table) throws IOException {
        String marker = "<!-- " + name + ": begin -->\n";
        String page = Files.readString(PAGE);
        int from = page.indexOf(marker) + marker.length();
        int to = page.indexOf("<!-- " + name + ": end -->\n");
        if ("write".equals(System.getProperty("orders.table"))) {
            Files.writeString(PAGE, page.substring(0, from) + table + page.substring(to));
        } else {
            assertThat(page.substring(from, to)).isEqualTo(table);
        }
    }

    @Test
    void tablesOfThePageMatchTheCode() throws IOException {
        checkTable("calls", callsTable());
        checkTable("lost answers", lostAnswersTable());
    }
}
