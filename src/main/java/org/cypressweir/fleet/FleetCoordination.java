package org.cypressweir.fleet;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.fleet.membership.MembershipOptions;

/** What a sidecar has to do with others of its kind, where the operators' file says so; all on the loop. */
public interface FleetCoordination {

    /** Where a process begins to take part. */
    interface Maker {
        /** Done once its socket is open; it fails where that can't be. */
        CompletableFuture<FleetCoordination> open(Opening opening);
    }

    /**
     * What it is made with.
     *
     * @param beside whether another process may hold the socket for a while yet
     * @param refused told why the process may not take part at all
     * @param portioned run when the part of what all share is another
     * @param lists that it lends and borrows
     */
    record Opening(
            EventLoop loop,
            String name,
            MembershipOptions plan,
            boolean beside,
            Map<String, String> facts,
            Consumer<String> log,
            Consumer<String> refused,
            Runnable portioned,
            Lists lists) {}

    /** Lists of servers that processes lend each other. */
    interface Lists {
        Lending.EndpointListSource shelf();

        /** Whether discovery has told this process anything; until then it borrows. */
        boolean told();

        /** A list that was lent; false where it was none. */
        boolean borrowed(Lending.Loan loan);
    }

    /** Done once others have lent their newest list, have none that is newer, or were silent for long. */
    CompletableFuture<Void> lent();

    /** One line of JSON. */
    String members();

    /** Whether this process holds a lease: {@code YES TOKEN LEFT_MS} or {@code NO} and why. */
    String lease(String name);

    /** How all leases stand: a line of JSON and {@code END}, or {@code NO} and why. */
    String leases();

    /** What this process says of itself to the others. */
    void facts(Map<String, String> facts);

    /** This process's part of what all share at this moment, 0 to 1; 1 where nothing follows the living. */
    double part();

    /** Processes that share; 1 where nothing follows the living. */
    int count();

    /** Other seeds and times hold from now on. */
    void retune(MembershipOptions next);

    /** Says that it goes, and closes its socket. */
    void leave();
}
