package org.cypressweir.sidecar.plugin;

/** Thrown for a module that is not a valid plug-in; the message gives the reason in one line. */
public final class InvalidPluginException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidPluginException(String reason) {
        super(reason);
    }

    public InvalidPluginException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
