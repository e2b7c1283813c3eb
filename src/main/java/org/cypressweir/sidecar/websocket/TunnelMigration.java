package org.cypressweir.sidecar.websocket;

/**
 * How an open connection goes over to another server between two messages, so that none is lost, doubled or
 * reordered: the other server agrees first; then what the client says is held back, and the old server is
 * told to close and heard out until its own close frame, which proves that it has read everything before;
 * only then does what was held back go on. Nothing is ever sent to both. Whatever goes wrong before the last
 * step leaves the other server out of it; there is exactly one way out of each state for each event.
 */
final class TunnelMigration {

    enum State {
        /** No move. */
        NONE,
        /** Another server is asked. */
        ASKING,
        /** It has agreed; the client is within a message. */
        WAITING,
        /** What the client says is held back, and the old server is to close. */
        SWITCHING
    }

    enum Event {
        ASK,
        /** The other server agreed, the client being between two messages or within one. */
        AGREED_BETWEEN,
        AGREED_WITHIN,
        /** No server agreed. */
        REFUSED,
        /** The client's message has ended. */
        MESSAGE_ENDS,
        /** The old server's close frame came between two messages: it goes on at the other server. */
        OLD_CLOSED,
        /**
         * The connection as a whole closes or breaks, or the old server did not close in order or in time.
         */
        CALLED_OFF
    }

    private TunnelMigration() {}

    /** What means nothing in a state leaves it as it is. */
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
