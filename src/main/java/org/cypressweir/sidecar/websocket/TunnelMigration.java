package org.cypressweir.sidecar.websocket;

/**
 * State machine for moving an open tunnel to another server between two messages, so that no message is lost,
 * duplicated or reordered. First the new server accepts the handshake. Then the client's frames are held back, the old
 * server is sent a close frame, and its data is forwarded until its own close frame, which proves that it has read
 * everything sent before. Only then are the held frames sent to the new server. No frame is ever sent to both. If
 * anything fails before the last step, the new server is not used. Each state has exactly one transition per event.
 */
final class TunnelMigration {

    enum State {
        /** No move. */
        NONE,
        /** Another server has been requested. */
        ASKING,
        /** The new server has accepted; the client is within a message. */
        WAITING,
        /** The client's frames are held back until the old server's close frame. */
        SWITCHING
    }

    enum Event {
        ASK,
        /** The new server accepted while the client was between two messages, or within one. */
        AGREED_BETWEEN,
        AGREED_WITHIN,
        /** No server accepted. */
        REFUSED,
        /** The client's message has ended. */
        MESSAGE_ENDS,
        /** The old server's close frame arrived between two messages: the tunnel continues at the new server. */
        OLD_CLOSED,
        /**
         * The tunnel closes or breaks, or the old server did not close normally or in time.
         */
        CALLED_OFF
    }

    private TunnelMigration() {}

    /** Returns the next state; an event without meaning in a state leaves it unchanged. */
    static State next(State state, Event event) {
        return switch (event) {
            case ASK -> state == State.NONE ? State.ASKING : state;
            case AGREED_BETWEEN -> state == State.ASKING ? State.SWITCHING : state;
            case AGREED_WITHIN -> state == State.ASKING ? State.WAITING : state;
            case REFUSED -> state == State.ASKING ? State.NONE : state;
            case MESSAGE_ENDS -> state == State.WAITING ? State.SWITCHING : state;
            case OLD_CLOSED -> state == State.SWITCHING ? State.NONE : state;
            case CALLED_OFF -> State.NONE;
        };
    }
}
