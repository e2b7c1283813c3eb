package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;

/** A client's end of an answer that is passed on as it comes. */
interface StreamedResponse {

    /**
     * Passes a part on; the caller keeps its reference. False where the client should be given time
     * first.
     */
    boolean more(ByteBuf part);

    /** The answer was whole. */
    void end();

    /** The rest will not come; the client must be able to tell. */
    void cut();
}
