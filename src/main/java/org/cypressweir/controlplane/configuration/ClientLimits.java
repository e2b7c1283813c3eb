package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;

/** How much a client may send in one request, and how long it may take. */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMicros, long idleTimeoutMicros) {

    public static final ClientLimits DEFAULTS = new ClientLimits(16_384, 64L << 20, 3_000_000, 15_000_000);

    private static final int MIN_HEADER_BYTES = 256;
    private static final int MAX_HEADER_BYTES = 1 << 20;
    private static final long MAX_BODY_BYTES = 1L << 40;

    /** Reads the limits of an item; a field that is missing, or an item that is null or withdrawn, has the default. */
    public static Either<Rejection, ClientLimits> of(Item item) {
        if (item == null || item.withdrawn()) {
            return Either.right(DEFAULTS);
        }
        ContentFields fields = ContentFields.of(item);
        try {
            return Either.right(new ClientLimits(
                    (int) fields.integer("maxHeaderBytes", MIN_HEADER_BYTES, MAX_HEADER_BYTES, DEFAULTS.maxHeaderBytes),
                    fields.integer("maxBodyBytes", 0, MAX_BODY_BYTES, DEFAULTS.maxBodyBytes),
                    fields.durationMicros("headerTimeout", DEFAULTS.headerTimeoutMicros),
                    fields.durationMicros("idleTimeout", DEFAULTS.idleTimeoutMicros)));
        } catch (InvalidContentException e) {
            return Either.left(Rejection.invalid(e));
        }
    }
}
