package org.cypressweir.simulation;

/**
 * One run of the model.
 *
 * @param servers 2 or more
 * @param sidecars 1 or more
 * @param units that ask, 1 or more
 * @param skew how much more the popular ones ask: exponent of Zipf's law
 * @param load of the servers before any harm, as a part of what their cores can do; above 0
 * @param cells 1 for one pool without cells
 * @param guests part of a cell for guests of sick ones, 0 to 0.5
 * @param quarantine whether a twentieth of the servers is reserved for units that flood
 * @param harm what happens after a third of the time
 * @param size of the harm: the part of all traffic that one unit adds, or of the servers that turn slow
 * @param seconds of the whole run
 */
public record Scenario(
        int servers,
        int sidecars,
        int units,
        double skew,
        double load,
        int cells,
        double guests,
        boolean quarantine,
        Harm harm,
        double size,
        int seconds,
        long seed) {

    /** What happens after a third of the time and lasts. */
    public enum Harm {
        /** Nothing. */
        NONE,
        /** One unit asks for far more, as a client does that retries without end. */
        FLOOD,
        /** A release makes servers eight times slower, cell by cell where there are cells. */
        RELEASE,
        /** The most popular unit moves to another cell. */
        MOVE,
        /** The same with a fence for its writes. */
        FENCED_MOVE,
        /** The same with a freeze of its writes at all sidecars. */
        FROZEN_MOVE
    }

    public Scenario {
        if (servers < 2 || sidecars < 1 || units < 1 || cells < 1 || cells > servers || !(load > 0) || seconds < 3) {
            throw new IllegalArgumentException("out of range: " + servers + " servers, " + sidecars
                    + " sidecars, " + units + " units, " + cells + " cells, load " + load + ", "
                    + seconds + " s");
        }
    }
}
