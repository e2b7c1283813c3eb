package org.cypressweir.simulation;

/**
 * Result of a {@link QuietFleetSimulation}.
 *
 * @param calls calls for the server list in the whole run
 * @param callsPeak most calls for the list in any one second
 * @param listedAfterMillis milliseconds from the change until the last instance knew of the cold server
 * @param coldPeak highest ratio, over all seconds, of the work sent to the cold server to its capacity in that second
 * @param coldFirstSecond requests sent to the cold server in its first second on the list
 * @param inTime share of all requests that were served within their target latency
 * @param unanswered requests that were never answered
 */
public record QuietReport(
        long calls,
        int callsPeak,
        long listedAfterMillis,
        double coldPeak,
        int coldFirstSecond,
        double inTime,
        long unanswered) {}
