package org.cypressweir.simulation;

/**
 * Result of a {@link CellsSimulation}, for the time before the harm and the time with it. Requests of the flooding unit
 * are left out of the ratios.
 *
 * @param inTimeBefore share of the requests before the harm that were served within their target latency
 * @param worthBefore share of the requests' worth that was served before the harm; a late answer counts 0.3
 * @param noticedShare share of the units whose in-time ratio fell by 0.2 or more
 * @param requests requests of the whole run
 * @param unanswered requests that were never answered
 * @param duplicateWrites requests of unsafe classes that ran more than once
 * @param overlappingWrites how often a moved unit had writes running in two cells at once
 */
public record Report(
        double inTimeBefore,
        double inTimeWith,
        double worthBefore,
        double worthWith,
        double noticedShare,
        long requests,
        long unanswered,
        long duplicateWrites,
        long overlappingWrites) {}
