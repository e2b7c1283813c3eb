package larkbank.quay;

import java.util.function.Consumer;

/** A request that was taken, with whom to tell of its end. The end is told once, whatever comes after. */
final class Shipment extends Cargo implements Ticket {
    private final Freight freight;
    private final Consumer<Outcome> end;
    /** The id that is sent, and that its answer repeats. */
    final String attemptId;
    /** Sent is what the socket took at least a byte of. */
    Known known = Known.NOT_SENT;

    private boolean over;

    Shipment(Freight freight, Consumer<Outcome> end) {
        super(freight.inner(), freight.rank(), freight.aimAtMicros(), freight.deadlineMicros(), freight.repeatable());
        this.freight = freight;
        this.end = end;
        attemptId = RequestBytes.attemptId(freight);
    }

    @Override
    public Freight freight() {
        return freight;
    }

    @Override
    public boolean isOver() {
        return over;
    }

    boolean isHead() {
        return freight.method().equals("HEAD");
    }

    void tell(Outcome outcome) {
        if (!over) {
            over = true;
            end.accept(outcome);
        }
    }
}
