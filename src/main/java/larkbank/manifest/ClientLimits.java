package larkbank.manifest;

import io.vavr.control.Either;

/** How much a client may send and how long it may take. */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMicros, long idleTimeoutMicros) {

    public static final ClientLimits USUAL = new ClientLimits(16_384, 64L << 20, 3_000_000, 15_000_000);

    /** The limits of the item, the usual ones where it has none or is null. */
    public static Either<Refusal, ClientLimits> of(Item item) {
        if (item == null || item.withdrawn()) {
            return Either.right(USUAL);
        }
        Fields fields = new Fields(item.key().toString(), item.content());
        try {
            return Either.right(new ClientLimits(
                    (int) fields.whole("maxHeaderBytes", 256, 1 << 20, USUAL.maxHeaderBytes),
                    fields.whole("maxBodyBytes", 0, 1L << 40, USUAL.maxBodyBytes),
                    fields.time("headerTimeout", USUAL.headerTimeoutMicros),
                    fields.time("idleTimeout", USUAL.idleTimeoutMicros)));
        } catch (Fields.Bad e) {
            return Either.left(Refusal.invalid(e.getMessage()));
        }
    }
}
