package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The rollout of a new version of a service, as an item of the configuration. Each step is a version of the item: when
 * two controllers take different steps at once, one of them is rejected. A rollout that has ended stays as it is.
 * Immutable.
 *
 * @param service the service whose requests move
 * @param itemVersion the version of the item, which grows with each step
 * @param targetVersion the software version of the instances that the requests move to
 * @param baseVersion the version that the last completed rollout moved to; empty where there was none
 * @param periodMicros how long the rollout may take
 * @param stage the number of the current stage, see the controllers' rollout stages
 * @param shareOfTarget the share of the requests that the new version may get, from 0 to 1
 * @param elapsedMicros how much of the period had passed at this step
 * @param reason why it is in this state, for operators
 */
public record Rollout(
        String service,
        long itemVersion,
        String targetVersion,
        String baseVersion,
        long periodMicros,
        RolloutState state,
        int stage,
        double shareOfTarget,
        long elapsedMicros,
        String reason) {

    private static final int MAX_STAGE = 100;

    /** The first step of a rollout that an operator has ordered. */
    public static Rollout begin(Rollout last, String service, String targetVersion, long periodMicros, double share) {
        String base = "";
        long version = 1;
        if (last != null) {
            base = last.state == RolloutState.COMPLETED ? last.targetVersion : last.baseVersion;
            version = last.itemVersion + 1;
        }
        return new Rollout(
                service, version, targetVersion, base, periodMicros, RolloutState.IN_PROGRESS, 0, share, 0, "ordered");
    }

    /** The step to another stage. */
    public Rollout toStage(int nextStage, double share, long elapsed) {
        return next(RolloutState.IN_PROGRESS, nextStage, share, elapsed, "stage " + nextStage);
    }

    /** The last step. */
    public Rollout end(RolloutState end, long elapsed, String stepReason) {
        return next(end, stage, end == RolloutState.COMPLETED ? 1 : 0, elapsed, stepReason);
    }

    private Rollout next(RolloutState nextState, int nextStage, double share, long elapsed, String stepReason) {
        return new Rollout(
                service,
                itemVersion + 1,
                targetVersion,
                baseVersion,
                periodMicros,
                nextState,
                nextStage,
                share,
                elapsed,
                stepReason);
    }

    /** Whether this rollout was begun by an order with this version and period. */
    public boolean isOrder(String version, long period) {
        return targetVersion.equals(version) && periodMicros == period;
    }

    public boolean isInProgress() {
        return state == RolloutState.IN_PROGRESS;
    }

    /** The item that is stored and sent. */
    public Item toItem() {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("targetVersion", targetVersion);
        content.put("baseVersion", baseVersion);
        content.put("rolloutPeriod", periodMicros / 1_000 + "ms");
        content.put("operState", state.wireName());
        content.put("stage", (long) stage);
        content.put("share", Double.toString(shareOfTarget));
        content.put("elapsedMillis", elapsedMicros / 1_000);
        content.put("reason", reason);
        return new Item(new ItemKey(ItemType.ROLLOUTS, service), itemVersion, content);
    }

    public static Either<Rejection, Rollout> of(Item item) {
        ContentFields fields = ContentFields.of(item);
        try {
            RolloutState state = RolloutState.of(fields.text("operState"));
            if (state == null) {
                throw fields.invalid("operState", "is not known");
            }
            return Either.right(new Rollout(
                    item.key().name(),
                    item.version(),
                    fields.text("targetVersion"),
                    fields.has("baseVersion") && !"".equals(item.content().get("baseVersion"))
                            ? fields.text("baseVersion")
                            : "",
                    fields.durationMicros("rolloutPeriod"),
                    state,
                    (int) fields.integer("stage", 0, MAX_STAGE),
                    share(fields),
                    fields.integer("elapsedMillis", 0, Long.MAX_VALUE / 1_000) * 1_000,
                    fields.text("reason")));
        } catch (InvalidContentException e) {
            return Either.left(Rejection.invalid(e));
        }
    }

    private static double share(ContentFields fields) throws InvalidContentException {
        try {
            return Double.parseDouble(fields.text("share"));
        } catch (NumberFormatException e) {
            throw fields.invalid("share", "must be a number");
        }
    }

    /** The rollouts of a configuration, including those that have ended. */
    public static List<Rollout> all(Configuration configuration) {
        List<Rollout> rollouts = new ArrayList<>();
        for (Item item : configuration.active(ItemType.ROLLOUTS)) {
            of(item).forEach(rollouts::add);
        }
        return rollouts;
    }

    /** The last rollout of a service; null where there was none. */
    public static Rollout find(Configuration configuration, String service) {
        Item item = configuration.active(new ItemKey(ItemType.ROLLOUTS, service));
        return item == null ? null : of(item).getOrNull();
    }
}
