package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;

/** The client's side of a response that is streamed as it arrives. */
interface StreamedResponse {

    /**
     * Writes a part of the body; the caller keeps its reference.
     *
     * @return false if the caller should pause, because the client reads too slowly
     */
    boolean write(ByteBuf part);

    /** The response is complete. */
    void end();

    /** The rest will not arrive; the client must be able to detect that the response is incomplete. */
    void abort();
}
