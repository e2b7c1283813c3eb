package larkbank.plugin;

/** A module that can't be a plug-in, and why, in one line. */
public final class BadPlugin extends Exception {
    private static final long serialVersionUID = 1L;

    BadPlugin(String why) {
        super(why);
    }

    public BadPlugin(String why, Throwable cause) {
        super(why, cause);
    }
}
