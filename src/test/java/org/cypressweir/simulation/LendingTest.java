package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;
import org.junit.jupiter.api.Test;

/** Transfer of the server list from running members to one that has just started, in simulated time. */
class LendingTest {

    private static final long SECOND_MICROS = 1_000_000;
    private static final int PAGES = 40;

    private final List<LendingProcess> processes = new ArrayList<>();
    private SimulatedNetwork<MembershipMessage> network;

    /** A process with a list whose pages contain their revision and page number. */
    private final class LendingProcess
            implements SimulatedNetwork.Process<MembershipMessage>, Lending.EndpointListSource {
        final List<Lending.Loan> loans = new ArrayList<>();
        final int node = network.addNode();
        final Peer self = new Peer("n" + node, node, 1, 1, MembershipSimulation.address(node));
        final Lending lending = new Lending(
                node,
                this,
                (to, message) -> network.send(
                        node, to.getPort() - MembershipSimulation.address(0).getPort(), message),
                loan -> {
                    loans.add(loan);
                    accept(loan);
                });
        long revision;
        long updatedAt;
        int pages = PAGES;

        LendingProcess(long revision) {
            this.revision = revision;
            processes.add(this);
            network.start(node, 50_000, this);
        }

        void accept(Lending.Loan loan) {
            revision = loan.revision();
        }

        @Override
        public void tick(long now) {
            lending.tick(now, self, () -> processes.stream()
                    .filter(other -> other != this)
                    .map(other -> other.self)
                    .toList());
        }

        @Override
        public void receive(long now, MembershipMessage message) {
            lending.receive(now, message, self);
        }

        @Override
        public long revision() {
            return revision;
        }

        @Override
        public long knownRevision() {
            return revision;
        }

        @Override
        public long ageMicros() {
            return network.now() - updatedAt;
        }

        @Override
        public int pages() {
            return pages;
        }

        @Override
        public byte[] page(int number) {
            return new byte[] {(byte) revision, (byte) number};
        }
    }

    private LendingProcess startSeeking(long known) {
        LendingProcess starter = new LendingProcess(known);
        starter.lending.startSeeking(known);
        return starter;
    }

    private void run(long micros) {
        network.run(network.now() + micros);
    }

    private static void assertComplete(Lending.Loan loan, long revision, int pages) {
        assertEquals(revision, loan.revision());
        assertEquals(pages, loan.pages().size());
        for (int i = 0; i < pages; i++) {
            assertEquals(revision, loan.pages().get(i)[0], "page " + i);
            assertEquals(i, loan.pages().get(i)[1]);
        }
    }

    @Test
    void theNewestListIsTransferredCompleteDespiteLoss() {
        long drawnSeed = System.nanoTime() & 0xFFFFF;
        for (long seed : new long[] {1, 2, 3, 4, 5, drawnSeed}) {
            processes.clear();
            network = new SimulatedNetwork<>(seed);
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < 9; i++) {
                new LendingProcess(3 + random.nextInt(4));
            }
            new LendingProcess(8);
            run(5 * SECOND_MICROS);
            LendingProcess starter = startSeeking(2);
            network.setConditions(SimulatedNetwork.Conditions.lossy(0.2));
            run(20 * SECOND_MICROS);
            assertTrue(!starter.loans.isEmpty(), "no list received, seed " + seed);
            assertComplete(starter.loans.get(starter.loans.size() - 1), 8, PAGES);
            assertTrue(starter.loans.get(0).ageMicros() >= 5 * SECOND_MICROS, "seed " + seed);
        }
    }

    @Test
    void aLenderThatDiesOrUpdatesMidTransferIsReplacedAndPagesAreNotMixed() {
        network = new SimulatedNetwork<>(1);
        LendingProcess newest = new LendingProcess(9);
        newest.pages = 4_000;
        LendingProcess second = new LendingProcess(7);
        LendingProcess starter = startSeeking(1);
        run(600_000);
        assertEquals(0, starter.loans.size(), "the transfer is still running");
        network.kill(newest.node);
        run(4 * SECOND_MICROS);
        assertEquals(1, starter.loans.size());
        assertComplete(starter.loans.get(0), 7, PAGES);
        // The lender's list is updated during the transfer: all pages must be of the newer revision.
        second.pages = 100;
        second.revision = 20;
        network.setConditions(new SimulatedNetwork.Conditions(0, 0, 0, 0, 50_000, 100_000));
        assertTrue(awaitPartialTransfer(starter), "the second transfer did not start");
        second.revision = 21;
        run(20 * SECOND_MICROS);
        assertComplete(starter.loans.get(1), 21, 100);
        assertEquals(2, starter.loans.size(), "a list that is not newer must be ignored");
    }

    /** Runs until about half of the second list has been requested. */
    private boolean awaitPartialTransfer(LendingProcess starter) {
        long sent = network.sent(starter.node);
        for (long until = network.now() + 30 * SECOND_MICROS; network.now() < until; ) {
            run(10_000);
            if (network.sent(starter.node) > sent + 40) {
                return starter.loans.size() == 1;
            }
        }
        return false;
    }

    @Test
    void olderListsAreIgnoredAndSeekingStopsOnceDiscoveryAnswers() {
        network = new SimulatedNetwork<>(1);
        new LendingProcess(4);
        LendingProcess starter = startSeeking(4);
        run(5 * SECOND_MICROS);
        assertEquals(0, starter.loans.size());
        assertTrue(network.sent(starter.node) > 0, "no request was sent");
        starter.lending.stopSeeking();
        long sent = network.sent(starter.node);
        run(30 * SECOND_MICROS);
        assertEquals(sent, network.sent(starter.node));
    }

    @Test
    void anEmptyListIsAcceptedAndATooLargeOneIsNot() {
        network = new SimulatedNetwork<>(1);
        LendingProcess empty = new LendingProcess(5);
        empty.pages = 0;
        LendingProcess huge = new LendingProcess(6);
        huge.pages = 1_000_000;
        LendingProcess starter = startSeeking(1);
        run(3 * SECOND_MICROS);
        assertEquals(1, starter.loans.size());
        assertComplete(starter.loans.get(0), 5, 0);
    }
}
