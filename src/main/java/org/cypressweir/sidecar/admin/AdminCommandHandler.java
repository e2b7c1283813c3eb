package org.cypressweir.sidecar.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** What operators may ask on their door, and what they hear; it acts on the standing alone. */
public final class AdminCommandHandler {

    private static final String NO = "NO ";
    private static final String LEASE = "LEASE ";
    private static final String END = "\nEND";

    private final SidecarLifecycle standing;
    private final SidecarMetrics figures;
    private final SidecarMetrics.Fleet fleet;
    private final BooleanSupplier servers;
    /** Null where there is no membership. */
    private Supplier<String> members;

    private Supplier<String> leases;
    private UnaryOperator<String> lease;

    /** @param servers whether a request would find one */
    public AdminCommandHandler(
            SidecarLifecycle standing, SidecarMetrics figures, SidecarMetrics.Fleet fleet, BooleanSupplier servers) {
        this.standing = standing;
        this.figures = figures;
        this.fleet = fleet;
        this.servers = servers;
    }

    /** From now on these tell who the others are, and how leases stand: all of them, and one by its name. */
    public void tell(Supplier<String> those, Supplier<String> allLeases, UnaryOperator<String> oneLease) {
        members = those;
        leases = allLeases;
        lease = oneLease;
    }

    /** The answer to one line, without its end. */
    public String answer(String line) {
        if (line.startsWith(LEASE)) {
            return lease == null
                    ? NO + "leases are off"
                    : lease.apply(line.substring(LEASE.length()).strip());
        }
        return switch (line.strip()) {
            case "READY" -> ready();
            case "STATS" -> figures.json(fleet) + END;
            case "DRAIN" -> ask(SidecarLifecycle.Event.DRAIN);
            case "UNDRAIN" -> ask(SidecarLifecycle.Event.UNDRAIN);
            case "MEMBERS" -> members == null ? NO + "membership is off" : members.get() + END;
            case "LEASES" -> leases == null ? NO + "leases are off" : leases.get();
            default -> NO + "unknown call; READY, STATS, DRAIN, UNDRAIN, MEMBERS, LEASES and LEASE NAME are" + " known";
        };
    }

    private String ready() {
        if (!standing.serves()) {
            return NO + name();
        }
        return servers.getAsBoolean() ? "YES" : NO + "no server is in service";
    }

    /** Asked twice is as good as once; only an end can't be taken back. */
    private String ask(SidecarLifecycle.Event event) {
        standing.on(event);
        return (standing.state() == SidecarLifecycle.State.STOPPING ? NO : "YES ") + name();
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
