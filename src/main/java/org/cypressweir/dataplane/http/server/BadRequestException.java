package org.cypressweir.dataplane.http.server;

/** What came is no request that is taken; the status says why, and the connection ends. */
final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    BadRequestException(int status, String why) {
        super(why, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
