package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/**
 * Who a tenant is and how much it may send.
 *
 * @param apiKeys the keys that identify its requests
 * @param priority the priority of its requests, or null for that of the route
 * @param ratePerSecond requests per second, 0 for no limit
 * @param burst requests that may come at once, 0 for no limit
 */
public record TenantConfiguration(
        String name, List<String> apiKeys, Integer priority, double ratePerSecond, double burst) {

    /** All tenants of a configuration. */
    public static List<TenantConfiguration> all(Configuration configuration) {
        List<TenantConfiguration> tenants = new ArrayList<>();
        for (Item item : configuration.active(ItemType.TENANTS)) {
            of(item).forEach(tenants::add);
        }
        return tenants;
    }

    public static Either<Rejection, TenantConfiguration> of(Item item) {
        ContentFields fields = ContentFields.of(item);
        try {
            return Either.right(new TenantConfiguration(
                    item.key().name(),
                    apiKeys(fields),
                    priority(fields),
                    fields.nonNegative("ratePerS", 0),
                    fields.nonNegative("burstSize", 0)));
        } catch (InvalidContentException e) {
            return Either.left(Rejection.invalid(e));
        }
    }

    private static List<String> apiKeys(ContentFields fields) throws InvalidContentException {
        List<String> apiKeys = new ArrayList<>();
        for (Object key : fields.list("apiKeys")) {
            if (!(key instanceof String text) || text.isEmpty()) {
                throw fields.invalid("apiKeys", "must contain non-empty strings");
            }
            apiKeys.add(text);
        }
        return List.copyOf(apiKeys);
    }

    private static Integer priority(ContentFields fields) throws InvalidContentException {
        if (!fields.has("priority")) {
            return null;
        }
        return (int) fields.integer("priority", Integer.MIN_VALUE, Integer.MAX_VALUE);
    }
}
