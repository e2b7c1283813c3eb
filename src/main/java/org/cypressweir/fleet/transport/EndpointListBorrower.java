package org.cypressweir.fleet.transport;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;

/** Borrows endpoint lists from other members until discovery has responded, and lends this process's own list. */
final class EndpointListBorrower {

    private final FleetCoordination.EndpointListAccess lists;
    private final FleetEventLog events;
    private final Lending lending;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private boolean isSeeking;

    EndpointListBorrower(
            long seed,
            FleetCoordination.EndpointListAccess lists,
            BiConsumer<InetSocketAddress, MembershipMessage> sender,
            FleetEventLog events) {
        this.lists = lists;
        this.events = events;
        lending = new Lending(seed, lists.source(), sender, this::receiveList);
    }

    private void receiveList(Lending.Loan loan) {
        events.record("borrowed", loan.from(), loan.revision() + " " + loan.ageMicros());
        if (!lists.acceptBorrowed(loan)) {
            lending.exclude(loan.from());
        }
    }

    /** Completed once a start no longer has to wait for other members. */
    CompletableFuture<Void> finished() {
        return finished;
    }

    void stopWaiting() {
        finished.complete(null);
    }

    /** Performs the actions that are due. */
    void tick(long now, Peer self, Supplier<List<Peer>> otherMembers) {
        if (lists.isDiscoveryComplete()) {
            if (isSeeking) {
                isSeeking = false;
                lending.stopSeeking();
            }
            stopWaiting();
            return;
        }
        if (!isSeeking) {
            isSeeking = true;
            lending.startSeeking(lists.source().knownRevision());
        }
        lending.tick(now, self, otherMembers);
        if (lending.hasFinishedFirstRound()) {
            stopWaiting();
        }
    }

    void receive(long now, MembershipMessage message, Peer self) {
        lending.receive(now, message, self);
    }
}
