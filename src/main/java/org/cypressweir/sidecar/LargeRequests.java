package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.List;
import org.cypressweir.sidecar.buffering.BodyBudget;
import org.cypressweir.sidecar.buffering.BodyBudget.Reservation;

/**
 * The large requests of a process and their shared buffer budget. Shares that were granted or refused are notified in a
 * later task of the event loop.
 */
final class LargeRequests {

    /** Maximum size of a request body. */
    static final int MAX_BYTES = 32 * 1024 * 1024;
    /** Leaves some space for other requests beside one of the maximum size. */
    private static final int BUDGET_BYTES = MAX_BYTES + 2 * 1024 * 1024;

    private final EventLoop loop;
    private final BodyBudget budget = new BodyBudget(BUDGET_BYTES);

    LargeRequests(EventLoop loop) {
        this.loop = loop;
    }

    Reservation share(Runnable granted, Runnable refused) {
        return budget.newReservation(granted, refused);
    }

    BodyBudget.Decision ask(Reservation share, long bytes) {
        BodyBudget.Decision answer = budget.request(share, bytes);
        if (answer == BodyBudget.Decision.WAITS) {
            notifyShares(budget.decideWaiting());
        }
        return answer;
    }

    void free(Reservation share) {
        notifyShares(budget.release(share));
    }

    /** Bytes that requests occupy or have reserved. */
    long used() {
        return budget.usedBytes();
    }

    private void notifyShares(BodyBudget.GrantDecisions decisions) {
        decisions.granted().forEach(s -> loop.execute(s.granted()));
        decisions.refused().forEach(s -> loop.execute(s.refused()));
    }

    /** Assembles a body from its chunks; its buffer space is released with the last reference to it. */
    ByteBuf assemble(List<ByteBuf> chunks, Reservation share) {
        CompleteBody assemble = new CompleteBody(chunks, share);
        notifyShares(budget.complete(share, assemble.readableBytes()));
        return assemble;
    }

    private final class CompleteBody extends CompositeByteBuf {
        private final Reservation share;

        CompleteBody(List<ByteBuf> chunks, Reservation share) {
            super(UnpooledByteBufAllocator.DEFAULT, false, Integer.MAX_VALUE, chunks);
            this.share = share;
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            free(share);
        }
    }
}
