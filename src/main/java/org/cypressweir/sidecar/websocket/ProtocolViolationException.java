package org.cypressweir.sidecar.websocket;

/** Thrown for frames that violate RFC 6455 or exceed a limit; the message is sent as the close reason. */
public final class ProtocolViolationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int code;

    /** Creates an exception with the close code to send to the peer (RFC 6455, section 7.4.1). */
    public ProtocolViolationException(int code, String reason) {
        super(reason);
        this.code = code;
    }

    public int code() {
        return code;
    }
}
