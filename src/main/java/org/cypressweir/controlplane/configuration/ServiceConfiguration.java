package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;

/** How the instances of a service are connected to and health-checked. */
public record ServiceConfiguration(String name, String healthPath, int maxConnections) {

    public static Either<Rejection, ServiceConfiguration> of(Item item) {
        ContentFields fields = ContentFields.of(item);
        try {
            String healthPath = fields.text("healthPath");
            if (!healthPath.startsWith("/")) {
                throw fields.invalid("healthPath", "must begin with a slash");
            }
            requireKnownTypes(fields);
            int maxConnections = (int) fields.integer("maxConnections", 1, Integer.MAX_VALUE);
            return Either.right(new ServiceConfiguration(item.key().name(), healthPath, maxConnections));
        } catch (InvalidContentException e) {
            return Either.left(Rejection.invalid(e));
        }
    }

    /** Checks the types of fields that are not used yet. */
    private static void requireKnownTypes(ContentFields fields) throws InvalidContentException {
        if (fields.has("protocol")) {
            fields.text("protocol");
        }
        fields.flag("tls", false);
    }
}
