package larkbank.quay;

/** Stands for a request that was taken; good for cancelling it. */
public sealed interface Ticket permits Shipment {

    Freight freight();

    /** Whether its outcome has been told. */
    boolean isOver();
}
