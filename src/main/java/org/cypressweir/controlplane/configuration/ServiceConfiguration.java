package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;

/** How a service is met. */
public record ServiceConfiguration(String name, String healthPath, int maxConnections) {

    public static Either<Rejection, ServiceConfiguration> of(Item item) {
        ContentFields fields = new ContentFields(item.key().toString(), item.content());
        try {
            String healthPath = fields.text("healthPath");
            if (!healthPath.startsWith("/")) {
                throw fields.bad("healthPath", "must begin with a slash");
            }
            if (fields.has("protocol")) {
                fields.text("protocol");
            }
            fields.flag("tls", false);
            return Either.right(new ServiceConfiguration(
                    item.key().name(), healthPath, (int) fields.whole("maxConnections", 1, Integer.MAX_VALUE)));
        } catch (ContentFields.Bad e) {
            return Either.left(Rejection.invalid(e.getMessage()));
        }
    }
}
