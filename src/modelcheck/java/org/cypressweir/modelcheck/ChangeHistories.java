package org.cypressweir.modelcheck;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.Rejection;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.ConsensusFaults;

/**
 * Runs {@link ConsensusFaults} with random configuration changes, each of which may be repeated at any controller and
 * time: after lost answers, crashes, wiped disks and replaced machines. Also runs long histories of one
 * configuration, in which old versions are dropped.
 */
public class ChangeHistories extends ConsensusFaults {

    /** At least this many superseded versions of an item are known; the operators' page states this number. */
    private static final int MIN_KNOWN_VERSIONS = 256;

    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private static final int HISTORY_CHANGES = 4_000;
    private static final int MAX_CALLS_PER_STEP = 8;
    private static final int FINAL_REPETITIONS = 25;

    /** A call without an answer yet; the body is null for a read. */
    private record PendingCall(String body, boolean acknowledgedBefore, Map<ItemKey, Long> requiredVersions) {}

    private final ChangeHistoryChecks checks = new ChangeHistoryChecks();
    private final SplittableRandom random;
    private final RandomChanges randomChanges;
    private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
    private String recoveryFailure;

    public ChangeHistories(long seed) {
        super(seed);
        random = new SplittableRandom(seed + 1_000_003);
        randomChanges = new RandomChanges(random.split());
    }

    /** The first violation in the given numbers of runs with faults and of long histories, or null. */
    public static String firstViolation(int runs, int histories) {
        for (long seed = 0; seed < Math.max(runs, histories); seed++) {
            String violation = violation(seed, seed < runs, seed < histories);
            if (violation != null) {
                return "seed " + seed + ": " + violation;
            }
        }
        return null;
    }

    private static String violation(long seed, boolean withRun, boolean withHistory) {
        try {
            String violation = withHistory ? longHistory(seed).violation() : null;
            return violation == null && withRun ? new ChangeHistories(seed).run() : violation;
        } catch (RuntimeException | AssertionError e) {
            // Any exception of the code under test counts as a violation.
            return e.toString();
        }
    }

    /** What did not recover in time after the last fault, or null. Other tests require that all recovers. */
    String recoveryFailure() {
        return recoveryFailure;
    }

    Map<Integer, Integer> answersByStatus() {
        return checks.answersByStatus();
    }

    private static ConfigurationChange parse(String body) {
        return ConfigurationChange.read(body.getBytes(StandardCharsets.UTF_8)).get();
    }

    private static int status(Rejection rejection) {
        return switch (rejection.kind()) {
            case INVALID -> INVALID;
            case CONFLICT -> CONFLICT;
            case VERSION_TOO_OLD -> UNAVAILABLE;
        };
    }

    @Override
    protected void submitRandomCalls() {
        collectAnswers();
        for (int i = random.nextInt(MAX_CALLS_PER_STEP); i > 0 && checks.violation() == null; i--) {
            if (random.nextInt(5) == 0) {
                addPending(simulation().read(anyRunning(), timeoutMicros()), null);
            } else {
                RandomChanges.DrawnChange drawn = randomChanges.next();
                checks.submitted(drawn.body(), parse(drawn.body()), drawn.validity());
                addPending(simulation().submit(anyRunning(), drawn.body(), timeoutMicros()), drawn.body());
            }
        }
    }

    private long timeoutMicros() {
        return 50_000 + random.nextLong(2_000_000);
    }

    private void addPending(long call, String body) {
        boolean acknowledgedBefore = body != null && checks.isAcknowledged(body);
        pendingCalls.put(call, new PendingCall(body, acknowledgedBefore, checks.requiredVersions()));
    }

    private void collectAnswers() {
        for (long call : pendingCalls.keySet().stream().sorted().toList()) {
            ProposalResult result = simulation().result(call);
            if (result instanceof ProposalResult.Read read) {
                checks.read(pendingCalls.remove(call).requiredVersions, read.configuration());
            } else if (result != null && pendingCalls.get(call).body != null) {
                PendingCall pending = pendingCalls.remove(call);
                checks.answered(pending.body, status(result), pending.acknowledgedBefore);
            }
        }
    }

    private static int status(ProposalResult result) {
        if (result instanceof ProposalResult.Committed) {
            return OK;
        }
        return result instanceof ProposalResult.Rejected refused ? status(refused.rejection()) : UNAVAILABLE;
    }

    @Override
    protected String checkRecovery() {
        recoveryFailure = super.checkRecovery();
        collectAnswers();
        String violation = simulation().checks().violation();
        if (violation == null) {
            repeatAcknowledgedChanges();
        }
        return violation != null ? violation : checks.violation();
    }

    private void repeatAcknowledgedChanges() {
        List<String> acknowledged = checks.acknowledgedChanges();
        for (int i = 0; i < FINAL_REPETITIONS && !acknowledged.isEmpty(); i++) {
            String body = acknowledged.get(random.nextInt(acknowledged.size()));
            ProposalResult result = simulation().await(simulation().submit(anyRunning(), body, 5_000_000));
            boolean rejected = result instanceof ProposalResult.Rejected;
            boolean accepted = result instanceof ProposalResult.Committed;
            if (rejected || recoveryFailure == null && !accepted) {
                checks.addViolation(
                        "all faults are over, and a change once answered 200 is now " + result + ": " + body);
            }
        }
    }

    /** Applies one change after the other to one configuration, which is encoded and decoded at random times. */
    static ChangeHistoryChecks longHistory(long seed) {
        ChangeHistoryChecks checks = new ChangeHistoryChecks();
        SplittableRandom random = new SplittableRandom(seed);
        RandomChanges randomChanges = new RandomChanges(random.split());
        Configuration current = Configuration.EMPTY;
        for (int i = 0; i < HISTORY_CHANGES && checks.violation() == null; i++) {
            RandomChanges.DrawnChange drawn = randomChanges.next();
            ConfigurationChange change = parse(drawn.body());
            checks.submitted(drawn.body(), change, drawn.validity());
            Either<Rejection, List<Item>> result = change.applyTo(current);
            current = current.with(result.getOrElse(List.of()));
            int status = result.isLeft() ? status(result.getLeft()) : OK;
            if (status == UNAVAILABLE && checks.higherVersions(drawn.body()) < MIN_KNOWN_VERSIONS) {
                checks.addViolation("a version counts as too old although it has few successors: " + drawn.body());
            }
            checks.answered(drawn.body(), status, checks.isAcknowledged(drawn.body()));
            if (random.nextInt(20) == 0) {
                current = decode(current);
                checks.read(checks.requiredVersions(), current);
            }
        }
        return checks;
    }

    private static Configuration decode(Configuration configuration) {
        return Configuration.of(configuration.items().stream()
                .map(item -> Item.ofText(item.toText()))
                .toList());
    }

    /** Arguments: the number of runs with faults, and of long histories. */
    public static void main(String[] args) {
        String[] counts = String.join(" ", args).split(" ");
        int runs = Integer.parseInt(counts[0]);
        int histories = Integer.parseInt(counts[1]);
        String violation = firstViolation(runs, histories);
        System.out.println("runs=" + runs + " histories=" + histories + " violation=" + violation);
    }
}
