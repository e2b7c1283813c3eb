package org.cypressweir.simulation;

/**
 * Many instances with little traffic each; after a third all restart at once, after two thirds a server of
 * the fleet is replaced by a cold one.
 *
 * @param instances 1 or more
 * @param servers 2 or more
 * @param perMinute requests of one instance, above 0
 * @param listRate calls for the list a second by all of them; 0 for a watch that has no bound
 * @param changes of the list a minute beside, as in a release
 * @param seconds of the whole run
 */
public record QuietScenario(
        int instances, int servers, double perMinute, double listRate, double changes, int seconds, long seed) {

    public QuietScenario {
        if (instances < 1 || servers < 2 || !(perMinute > 0) || listRate < 0 || changes < 0 || seconds < 9) {
            throw new IllegalArgumentException("out of range: " + instances + " instances, " + servers + " servers, "
                    + perMinute + " requests a minute, " + seconds + " s");
        }
    }
}
