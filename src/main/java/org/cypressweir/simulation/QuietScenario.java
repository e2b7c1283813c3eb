package org.cypressweir.simulation;

/**
 * Many instances with little traffic each. After a third of the run all instances restart at once; after two thirds a
 * server is replaced by a cold one.
 *
 * @param instances 1 or more
 * @param servers 2 or more
 * @param perMinute requests per instance and minute, above 0
 * @param listRate calls for the server list per second by all instances together; 0 for long polling without rate limit
 * @param changes unrelated list changes per minute, as during a release
 * @param seconds length of the whole run, 9 or more
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
