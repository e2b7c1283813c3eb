package org.cypressweir.simulation;

/**
 * What a run came to, before the harm and with it; of a unit that floods, only what it asked for beside.
 *
 * @param inTimeBefore part of the requests that were served within their aim
 * @param worthBefore part of the worth that was served, a late answer at 0.3
 * @param noticed part of the units whose own part in time fell by a fifth of all they asked for, or more
 * @param asked requests of the run
 * @param unanswered requests without their one answer
 * @param twice requests of unsafe classes that ran more than once
 * @param both times at which a unit that moves had writes running in two cells
 */
public record Report(
        double inTimeBefore,
        double inTimeWith,
        double worthBefore,
        double worthWith,
        double noticed,
        long asked,
        long unanswered,
        long twice,
        long both) {}
