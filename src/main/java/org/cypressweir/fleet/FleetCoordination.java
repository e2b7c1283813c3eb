package org.cypressweir.fleet;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.fleet.membership.MembershipOptions;

/** Coordination of a sidecar with its peers, if the operators' file enables it. Confined to the event loop. */
public interface FleetCoordination {

    /** Opens the coordination of a process. */
    interface Factory {
        /**
         * Completes once the socket is open. If another process may still hold the socket and does, completes at once,
         * and the socket is opened later. Otherwise fails if the socket can't be opened.
         */
        CompletableFuture<FleetCoordination> open(Parameters opening);
    }

    /**
     * Parameters of {@link Factory#open}.
     *
     * @param mayAwaitSocket whether another process may still hold the socket, so that opening it is retried
     * @param facts what this process publishes about itself
     * @param onRefused receives the reason if the fleet refuses this process
     * @param onShareChanged run when this process's share of the fleet-wide limits has changed
     * @param lists endpoint lists that are exchanged with peers
     */
    record Parameters(
            EventLoop loop,
            String name,
            MembershipOptions options,
            boolean mayAwaitSocket,
            Map<String, String> facts,
            Consumer<String> log,
            Consumer<String> onRefused,
            Runnable onShareChanged,
            EndpointListAccess lists) {}

    /** Access to the endpoint lists that processes exchange. */
    interface EndpointListAccess {
        /** The list that this process can supply to others. */
        Lending.EndpointListSource source();

        /** Whether discovery has supplied a list, or none is needed; until then lists are fetched from peers. */
        boolean isDiscoveryComplete();

        /** Takes over a list that was fetched from a peer; returns false if it is invalid. */
        boolean acceptBorrowed(Lending.Loan loan);
    }

    /**
     * Completes once the peers' newest endpoint list has been fetched, they have none that is newer, or the wait for
     * them has timed out.
     */
    CompletableFuture<Void> initialBorrowingDone();

    /** The members as one line of JSON. */
    String membersJson();

    /** Whether this process holds a lease: {@code YES TOKEN LEFT_MS}, or {@code NO} and the reason. */
    String leaseStatus(String name);

    /** Status of all leases: a line of JSON and {@code END}, or {@code NO} and the reason. */
    String leasesStatus();

    /** Publishes new facts about this process to the other members. */
    void updateFacts(Map<String, String> facts);

    /**
     * This process's current fraction of the fleet-wide limits, 0 to 1; 1 if limits are not divided among live
     * processes.
     */
    double shareFraction();

    /** Number of processes that share the limits; 1 if limits are not divided among live processes. */
    int processCount();

    /** Applies new options at run time, such as seeds and times. */
    void reconfigure(MembershipOptions next);

    /** Announces that this process leaves, and then closes the socket. */
    void leave();
}
