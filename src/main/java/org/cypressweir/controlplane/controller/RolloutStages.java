package org.cypressweir.controlplane.controller;

import java.util.List;

/**
 * The stages of a rollout: which part of the requests the new version gets, from which part of the period on. A version
 * that turns out to be bad has got a small part of all requests by then, whatever stage it is in; the last stage is
 * short, since it gives the new version everything.
 */
final class RolloutStages {

    static final long MIN_PERIOD_MICROS = 1_000_000;
    static final long MAX_PERIOD_MICROS = 600_000_000;

    /** From this part of the period on, a rollout may be completed. */
    static final double COMPLETE_FROM = 0.84;

    /** A rollout that is not completed by then is reverted. */
    static final double REVERT_AT = 0.97;

    /** Answers of the new version without which nothing is decided for it. */
    static final long MIN_SAMPLES = 20;

    /**
     * One stage.
     *
     * @param share the part of the requests that the new version gets
     * @param from the part of the period from which on the stage may begin
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
