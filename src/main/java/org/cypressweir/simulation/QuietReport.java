package org.cypressweir.simulation;

/**
 * @param calls for the list in the whole run
 * @param callsPeak the most in any one second
 * @param listed milliseconds from the change to when the last instance knew of the cold server
 * @param coldPeak the most that the cold server was sent in any second, against what it could do in that
 *        second
 * @param coldFirst requests that it was sent in its first second on the list
 * @param inTime part of all requests that were served within their aim
 * @param unanswered requests without their one answer
 */
public record QuietReport(
        long calls, int callsPeak, long listed, double coldPeak, int coldFirst, double inTime, long unanswered) {}
