package larkbank.daily;

import java.util.function.BooleanSupplier;

/** What operators may ask on their door, and what they hear; it acts on the standing alone. */
public final class Desk {

    private static final String NO = "NO ";

    private final Standing standing;
    private final Figures figures;
    private final Figures.Fleet fleet;
    private final BooleanSupplier servers;

    /** @param servers whether a request would find one */
    public Desk(Standing standing, Figures figures, Figures.Fleet fleet, BooleanSupplier servers) {
        this.standing = standing;
        this.figures = figures;
        this.fleet = fleet;
        this.servers = servers;
    }

    /** The answer to one line, without its end. */
    public String answer(String line) {
        return switch (line.strip()) {
            case "READY" -> ready();
            case "STATS" -> figures.json(fleet) + "\nEND";
            case "DRAIN" -> ask(Standing.Event.DRAIN);
            case "UNDRAIN" -> ask(Standing.Event.UNDRAIN);
            default -> NO + "unknown call; READY, STATS, DRAIN and UNDRAIN are known";
        };
    }

    private String ready() {
        if (!standing.serves()) {
            return NO + name();
        }
        return servers.getAsBoolean() ? "YES" : NO + "no server is in service";
    }

    /** Asked twice is as good as once; only an end can't be taken back. */
    private String ask(Standing.Event event) {
        standing.on(event);
        return (standing.state() == Standing.State.STOPPING ? NO : "YES ") + name();
    }

    private String name() {
        return switch (standing.state()) {
            case STARTING -> "starting";
            case STARTING_DRAINED -> "starting, to be drained";
            case SERVING -> "serving";
            case DRAINING -> "draining";
            case DRAINED -> "drained";
            case STOPPING -> "stopping";
        };
    }
}
