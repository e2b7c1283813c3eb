package larkbank.hold;

import java.io.IOException;

/** What was read is not what was written: the last write is torn, or the disk has lost something. */
final class Torn extends IOException {

    private static final long serialVersionUID = 1;

    Torn(String message, Throwable cause) {
        super(message, cause);
    }
}
