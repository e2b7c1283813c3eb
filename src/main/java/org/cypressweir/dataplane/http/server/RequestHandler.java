package org.cypressweir.dataplane.http.server;

/** Handles the requests of an {@link HttpListener}. */
public interface RequestHandler {
    /**
     * Handles a complete request; called on the listener's event loop, so it must not block. The response may be
     * given now or later, on the same loop. An exception responds with status 500.
     */
    void handle(ServerRequest request);
}
