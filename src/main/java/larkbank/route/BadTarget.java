package larkbank.route;

/** A request's target or host that has no single meaning; the message is one line for the client's 400. */
public final class BadTarget extends Exception {
    private static final long serialVersionUID = 1L;

    public BadTarget(String message) {
        super(message);
    }
}
