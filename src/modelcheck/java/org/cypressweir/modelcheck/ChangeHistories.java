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
import org.cypressweir.controlplane.configuration.RejectionKind;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.ConsensusFaults;

/**
 * Days of {@link ConsensusFaults} with drawn orders, each sent again at any harbour and time: after lost answers,
 * crashes, wiped disks and replaced machines. And long histories at one manifest, past the floor.
 */
public class ChangeHistories extends ConsensusFaults {

    /** As many lower versions of an item are remembered at least; the page says so. */
    private static final int REMEMBERED = 256;

    private static final int LONG = 4_000;
    private static final int MOST_AT_ONCE = 8;
    private static final int ENOUGH_AGAIN = 25;

    private record Open(String body, boolean taken, Map<ItemKey, Long> least) {}

    private final ChangeHistoryChecks checks = new ChangeHistoryChecks();
    private final SplittableRandom random;
    private final RandomChanges draw;
    private final Map<Long, Open> open = new HashMap<>();
    private String unhealed;

    public ChangeHistories(long seed) {
        super(seed);
        random = new SplittableRandom(seed + 1_000_003);
        draw = new RandomChanges(random.split());
    }

    /** The first breach in so many days and long histories, or null. */
    public static String broken(int days, int histories) {
        String breach = null;
        for (long seed = 0; seed < Math.max(days, histories) && breach == null; seed++) {
            try {
                breach = seed < histories ? longHistory(seed).breach() : null;
                breach = breach == null && seed < days ? new ChangeHistories(seed).run() : breach;
            } catch (RuntimeException | AssertionError e) {
                breach = e.toString();
            }
            breach = breach == null ? null : "seed " + seed + ": " + breach;
        }
        return breach;
    }

    /** What did not come back by itself in its time after the last fault (judged elsewhere), or null. */
    String unhealed() {
        return unhealed;
    }

    Map<Integer, Integer> told() {
        return checks.told();
    }

    private static ConfigurationChange order(String body) {
        return ConfigurationChange.read(body.getBytes(StandardCharsets.UTF_8)).get();
    }

    private static int status(Rejection refusal) {
        return refusal == null
                ? 200
                : refusal.kind() == RejectionKind.INVALID ? 400 : refusal.kind() == RejectionKind.CONFLICT ? 409 : 503;
    }

    @Override
    protected void ask() {
        collect();
        for (int i = random.nextInt(MOST_AT_ONCE); i > 0 && checks.breach() == null; i--) {
            if (random.nextInt(5) == 0) {
                wait(world().read(any(), patience()), null);
            } else {
                RandomChanges.Drawn drawn = draw.next();
                checks.sent(drawn.body(), order(drawn.body()), drawn.validity());
                wait(world().submit(any(), drawn.body(), patience()), drawn.body());
            }
        }
    }

    private long patience() {
        return 50_000 + random.nextLong(2_000_000);
    }

    private void wait(long ticket, String body) {
        open.put(ticket, new Open(body, body != null && checks.taken(body), checks.floor()));
    }

    private void collect() {
        for (long ticket : open.keySet().stream().sorted().toList()) {
            ProposalResult result = world().result(ticket);
            if (result instanceof ProposalResult.Read read) {
                checks.read(open.remove(ticket).least, read.configuration());
            } else if (result != null && open.get(ticket).body != null) {
                Open call = open.remove(ticket);
                checks.told(
                        call.body,
                        result instanceof ProposalResult.Taken
                                ? 200
                                : result instanceof ProposalResult.Refused r ? status(r.refusal()) : 503,
                        call.taken);
            }
        }
    }

    @Override
    protected String healed() {
        unhealed = super.healed();
        collect();
        String breach = world().checks().breach();
        List<String> all = checks.acknowledged();
        for (int i = 0; i < ENOUGH_AGAIN && !all.isEmpty() && breach == null; i++) {
            String body = all.get(random.nextInt(all.size()));
            ProposalResult result = world().await(world().submit(any(), body, 5_000_000));
            if (result instanceof ProposalResult.Refused
                    || unhealed == null && !(result instanceof ProposalResult.Taken)) {
                checks.breach("all is well, and what was told 200 is now told " + result + ": " + body);
            }
        }
        return breach != null ? breach : checks.breach();
    }

    /** One order after the other on one manifest, which is written and read anew now and then. */
    static ChangeHistoryChecks longHistory(long seed) {
        ChangeHistoryChecks checks = new ChangeHistoryChecks();
        SplittableRandom random = new SplittableRandom(seed);
        RandomChanges draw = new RandomChanges(random.split());
        Configuration standing = Configuration.EMPTY;
        for (int i = 0; i < LONG && checks.breach() == null; i++) {
            RandomChanges.Drawn drawn = draw.next();
            ConfigurationChange order = order(drawn.body());
            checks.sent(drawn.body(), order, drawn.validity());
            Either<Rejection, List<Item>> result = order.against(standing);
            standing = standing.with(result.getOrElse(List.of()));
            int status = status(result.isLeft() ? result.getLeft() : null);
            if (status == 503 && checks.passedBy(drawn.body()) < REMEMBERED) {
                checks.breach("forgotten too early: " + drawn.body());
            }
            checks.told(drawn.body(), status, checks.taken(drawn.body()));
            if (random.nextInt(20) == 0) {
                standing = Configuration.of(standing.items().stream()
                        .map(e -> Item.ofText(e.toText()))
                        .toList());
                checks.read(checks.floor(), standing);
            }
        }
        return checks;
    }

    /** How many days and long histories. */
    public static void main(String[] args) {
        String[] given = String.join(" ", args).split(" ");
        String breach = broken(Integer.parseInt(given[0]), Integer.parseInt(given[1]));
        System.out.println(
                breach == null ? "no breach in " + given[0] + " days and " + given[1] + " histories" : breach);
    }
}
