package org.cypressweir.sidecar.websocket;

/** Frames that RFC 6455 does not allow, or that pass a limit; the message is a close reason. */
public final class ProtocolViolationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int code;

    /** With the close code that the offender is sent (RFC 6455, section 7.4.1). */
    public ProtocolViolationException(int code, String reason) {
        super(reason);
        this.code = code;
    }

    public int code() {
        return code;
    }
}
