package larkbank.gangway;

/** What came is no request that is taken; the status says why, and the connection ends. */
final class BadRequest extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    BadRequest(int status, String why) {
        super(why, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
