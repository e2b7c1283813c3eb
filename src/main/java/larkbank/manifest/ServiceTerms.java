package larkbank.manifest;

import io.vavr.control.Either;

/** How a service is met. */
public record ServiceTerms(String name, String healthPath, int maxConnections) {

    public static Either<Refusal, ServiceTerms> of(Item item) {
        Fields fields = new Fields(item.key().toString(), item.content());
        try {
            String healthPath = fields.text("healthPath");
            if (!healthPath.startsWith("/")) {
                throw fields.bad("healthPath", "must begin with a slash");
            }
            if (fields.has("protocol")) {
                fields.text("protocol");
            }
            fields.flag("tls", false);
            return Either.right(new ServiceTerms(
                    item.key().name(), healthPath, (int) fields.whole("maxConnections", 1, Integer.MAX_VALUE)));
        } catch (Fields.Bad e) {
            return Either.left(Refusal.invalid(e.getMessage()));
        }
    }
}
