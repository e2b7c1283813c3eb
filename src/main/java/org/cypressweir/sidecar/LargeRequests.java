package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.List;
import org.cypressweir.sidecar.buffering.BodyBudget;
import org.cypressweir.sidecar.buffering.BodyBudget.Share;

/**
 * The large requests of a process and the room that they share; whoever may go on is told by a later
 * task.
 */
final class LargeRequests {

    /** Largest request that is taken. */
    static final int MOST = 32 * 1024 * 1024;
    /** Beside the largest one, others still have some room. */
    private static final int TOTAL = MOST + 2 * 1024 * 1024;

    private final EventLoop loop;
    private final BodyBudget budget = new BodyBudget(TOTAL);

    LargeRequests(EventLoop loop) {
        this.loop = loop;
    }

    Share share(Runnable granted, Runnable refused) {
        return budget.share(granted, refused);
    }

    BodyBudget.Word ask(Share share, long bytes) {
        BodyBudget.Word word = budget.ask(share, bytes);
        if (word == BodyBudget.Word.WAITS) {
            tell(budget.settle());
        }
        return word;
    }

    void free(Share share) {
        tell(budget.free(share));
    }

    /** Bytes that requests hold or may hold. */
    long used() {
        return budget.used();
    }

    private void tell(BodyBudget.GrantDecisions news) {
        news.granted().forEach(s -> loop.execute(s.granted()));
        news.refused().forEach(s -> loop.execute(s.refused()));
    }

    /** One body out of its pieces, whose room is free once nobody holds it any more. */
    ByteBuf whole(List<ByteBuf> pieces, Share share) {
        CompleteBody whole = new CompleteBody(pieces, share);
        tell(budget.whole(share, whole.readableBytes()));
        return whole;
    }

    private final class CompleteBody extends CompositeByteBuf {
        private final Share share;

        CompleteBody(List<ByteBuf> pieces, Share share) {
            super(UnpooledByteBufAllocator.DEFAULT, false, Integer.MAX_VALUE, pieces);
            this.share = share;
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            free(share);
        }
    }
}
