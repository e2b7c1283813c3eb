package org.cypressweir.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cypressweir.sidecar.admin.SidecarMetrics.Ending;

/**
 * The end of a pool's requests: each has one response, and is forgotten once its attempts have ended too.
 *
 * <p>Confined to the event loop.
 */
final class RequestCompletion {

    private final EventLoop loop;
    private final InFlightRequests inFlight;
    /** Requests that have not been forgotten. */
    private int unforgotten;
    /** To be run once the last request is forgotten, where the pool is retired; null elsewhere. */
    private Runnable whenEmpty;

    RequestCompletion(EventLoop loop, InFlightRequests inFlight) {
        this.loop = loop;
        this.inFlight = inFlight;
    }

    /** The pool has taken a request. */
    void began() {
        unforgotten++;
    }

    /** To be run in a turn of its own once the last request is forgotten, or by {@link #runIfEmpty}. */
    void setWhenEmpty(Runnable task) {
        whenEmpty = task;
    }

    /** Gives a response that no server gave, unless the request has one; null for a request that is gone. */
    void respond(ClientRequest request, HttpResponseStatus status, HttpHeaders headers) {
        if (request == null || request.over) {
            return;
        }
        if (request.passed != null) {
            // It has a response already, which goes no further.
            finish(request, Ending.FAILED);
            request.passing.cut();
            return;
        }
        finish(request, ending(status));
        if (request.upgrade == null) {
            request.client.answer(status, headers, Unpooled.EMPTY_BUFFER);
        } else if (request.declined == null) {
            request.upgrade.answered(status);
            request.client.answer(status, headers, Unpooled.EMPTY_BUFFER);
        } else {
            passOnDeclined(request, request.declined);
        }
    }

    /** A server's own response says more than that no server agreed; it is never a rejection. */
    private static void passOnDeclined(ClientRequest request, ClientRequest.Declined declined) {
        request.upgrade.answered(declined.status());
        request.client.answer(declined.status(), declined.headers(), Unpooled.wrappedBuffer(declined.content()));
    }

    /** What a client may take a response for, whoever gave it. */
    private static Ending ending(HttpResponseStatus status) {
        return status.code() == 429 || status.code() == 503 ? Ending.REFUSED : Ending.FAILED;
    }

    /** A streamed response has ended, complete or not. */
    void endStream(ClientRequest request, boolean isComplete) {
        if (request.over) {
            return;
        }
        StreamedResponse stream = request.passing;
        finish(request, isComplete ? Ending.SERVED : Ending.FAILED);
        if (isComplete) {
            stream.end();
        } else {
            stream.cut();
        }
    }

    /** Nothing is owed to the client any more; the ending is null where it has left. */
    void finish(ClientRequest request, Ending ending) {
        request.over = true;
        request.expiry.cancel(false);
        inFlight.over(request, ending);
        if (request.watch != null) {
            request.watch.answered(request);
        }
        forgetIfDone(request);
    }

    /** Forgets a request that is finished and whose attempts have ended. */
    void forgetIfDone(ClientRequest request) {
        if (request.over && request.out == 0 && !request.forgotten) {
            request.forgotten = true;
            inFlight.remove(request);
            unforgotten--;
            if (request.watch != null) {
                request.watch.ended(request);
            }
            runIfEmpty();
        }
    }

    /** Runs the task where no request is left now. */
    void runIfEmpty() {
        if (whenEmpty != null && unforgotten == 0) {
            Runnable task = whenEmpty;
            whenEmpty = null;
            loop.execute(task);
        }
    }
}
