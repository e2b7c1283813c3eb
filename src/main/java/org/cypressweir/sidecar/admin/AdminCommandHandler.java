package org.cypressweir.sidecar.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/** Answers the commands of operators on the admin socket. Commands change nothing but the life cycle state. */
public final class AdminCommandHandler {

    private static final String NO_PREFIX = "NO ";
    private static final String LEASE_PREFIX = "LEASE ";
    private static final String END_LINE = "\nEND";

    private final SidecarLifecycle lifecycle;
    private final SidecarMetrics metrics;
    private final SidecarMetrics.Fleet fleet;
    private final BooleanSupplier hasServer;
    /** Lists the members; null if membership is off. */
    private Supplier<String> members;

    /** Describes all leases; null if leases are off. */
    private Supplier<String> leases;

    /** Describes the lease of a name; null if leases are off. */
    private UnaryOperator<String> lease;

    /** @param hasServer whether a server is available for a request now */
    public AdminCommandHandler(
            SidecarLifecycle lifecycle, SidecarMetrics metrics, SidecarMetrics.Fleet fleet, BooleanSupplier hasServer) {
        this.lifecycle = lifecycle;
        this.metrics = metrics;
        this.fleet = fleet;
        this.hasServer = hasServer;
    }

    /** Sets what describes the members, all leases, and a lease by its name. */
    public void setFleetStatus(
            Supplier<String> describeMembers, Supplier<String> describeLeases, UnaryOperator<String> describeLease) {
        members = describeMembers;
        leases = describeLeases;
        lease = describeLease;
    }

    /** Executes one command line and returns the answer, without a line end. */
    public String answer(String line) {
        if (line.startsWith(LEASE_PREFIX)) {
            return lease == null
                    ? NO_PREFIX + "leases are off"
                    : lease.apply(line.substring(LEASE_PREFIX.length()).strip());
        }
        return switch (line.strip()) {
            case "READY" -> readiness();
            case "STATS" -> metrics.json(fleet) + END_LINE;
            case "DRAIN" -> handle(SidecarLifecycle.Event.DRAIN);
            case "UNDRAIN" -> handle(SidecarLifecycle.Event.UNDRAIN);
            case "MEMBERS" -> members == null ? NO_PREFIX + "membership is off" : members.get() + END_LINE;
            case "LEASES" -> leases == null ? NO_PREFIX + "leases are off" : leases.get();
            default -> NO_PREFIX
                    + "unknown command; READY, STATS, DRAIN, UNDRAIN, MEMBERS, LEASES and LEASE NAME are"
                    + " known";
        };
    }

    private String readiness() {
        if (!lifecycle.acceptsClients()) {
            return NO_PREFIX + stateName();
        }
        return hasServer.getAsBoolean() ? "YES" : NO_PREFIX + "no server is in service";
    }

    /** Idempotent: a repeated command gets the same answer. Only stopping cannot be undone. */
    private String handle(SidecarLifecycle.Event event) {
        lifecycle.handle(event);
        return (lifecycle.state() == SidecarLifecycle.State.STOPPING ? NO_PREFIX : "YES ") + stateName();
    }

    private String stateName() {
        return switch (lifecycle.state()) {
            case STARTING -> "starting";
            case STARTING_DRAINED -> "starting, to be drained";
            case SERVING -> "serving";
            case DRAINING -> "draining";
            case DRAINED -> "drained";
            case STOPPING -> "stopping";
        };
    }
}
