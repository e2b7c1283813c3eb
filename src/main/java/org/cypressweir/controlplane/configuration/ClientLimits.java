package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;

/** How much a client may send and how long it may take. */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMicros, long idleTimeoutMicros) {

    public static final ClientLimits USUAL = new ClientLimits(16_384, 64L << 20, 3_000_000, 15_000_000);

    /** The limits of the item, the usual ones where it has none or is null. */
    public static Either<Rejection, ClientLimits> of(Item item) {
        if (item == null || item.withdrawn()) {
            return Either.right(USUAL);
        }
        ContentFields fields = new ContentFields(item.key().toString(), item.content());
        try {
            return Either.right(new ClientLimits(
                    (int) fields.whole("maxHeaderBytes", 256, 1 << 20, USUAL.maxHeaderBytes),
                    fields.whole("maxBodyBytes", 0, 1L << 40, USUAL.maxBodyBytes),
                    fields.time("headerTimeout", USUAL.headerTimeoutMicros),
                    fields.time("idleTimeout", USUAL.idleTimeoutMicros)));
        } catch (ContentFields.Bad e) {
            return Either.left(Rejection.invalid(e.getMessage()));
        }
    }
}
