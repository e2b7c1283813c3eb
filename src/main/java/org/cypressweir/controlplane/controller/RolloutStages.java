package org.cypressweir.controlplane.controller;

import java.util.List;

/**
 * The stages of a rollout: the share of requests that the new version gets, and the part of the rollout period after
 * which a stage may begin. Whichever stage a faulty version is detected in, it has received only a small part of the
 * requests of the period; the last stage is short because it sends all requests to the new version.
 */
final class RolloutStages {

    static final long MIN_PERIOD_MICROS = 1_000_000;
    static final long MAX_PERIOD_MICROS = 600_000_000;

    /** Part of the period after which a rollout may be completed. */
    static final double COMPLETE_FROM = 0.84;

    /** Part of the period after which a rollout that is not completed is reverted. */
    static final double REVERT_AT = 0.97;

    /** Requests that the new version must have had before the rollout advances or completes. */
    static final long MIN_SAMPLES = 20;

    /**
     * One stage.
     *
     * @param share of the requests that the new version gets, from 0 to 1
     * @param from the part of the period after which the stage may begin, from 0 to 1
     */
    private record Stage(double share, double from) {}

    private static final List<Stage> STAGES = List.of(new Stage(0.05, 0), new Stage(0.15, 0.45), new Stage(1, 0.75));

    private RolloutStages() {}

    static double share(int stage) {
        return STAGES.get(stage).share;
    }

    static boolean isLast(int stage) {
        return stage >= STAGES.size() - 1;
    }

    /** Whether the stage after this one may begin. */
    static boolean mayAdvance(int stage, double partOfPeriod) {
        return !isLast(stage) && partOfPeriod >= STAGES.get(stage + 1).from;
    }
}
