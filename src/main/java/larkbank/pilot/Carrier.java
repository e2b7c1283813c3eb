package larkbank.pilot;

import java.util.function.Consumer;
import larkbank.quay.Freight;

/** Takes an attempt to the server that it is for, and its reply back: exactly one, on the loop. */
interface Carrier {

    /** What can still be done with an attempt that is out. */
    interface Ride {
        /** Nobody waits for it any more; what can't be repeated goes on. */
        void cancel();
    }

    Ride send(Target target, Freight freight, Consumer<Reply> end);
}
