package org.cypressweir.sidecar.plugin;

/** A module that can't be a plug-in, and why, in one line. */
public final class InvalidPluginException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidPluginException(String why) {
        super(why);
    }

    public InvalidPluginException(String why, Throwable cause) {
        super(why, cause);
    }
}
