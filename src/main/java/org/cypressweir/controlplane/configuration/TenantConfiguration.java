package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/** What a tenant may: by which keys it is known, its priority or null, its rate and burst, 0 for no limit. */
public record TenantConfiguration(String name, List<String> keys, Integer priority, double ratePerS, double burst) {

    public static Either<Rejection, TenantConfiguration> of(Item item) {
        ContentFields fields = new ContentFields(item.key().toString(), item.content());
        try {
            List<String> keys = new ArrayList<>();
            for (Object key : fields.list("apiKeys")) {
                if (!(key instanceof String text) || text.isEmpty()) {
                    throw fields.bad("apiKeys", "must hold texts that are not empty");
                }
                keys.add(text);
            }
            Integer priority = null;
            if (fields.has("priority")) {
                priority = (int) fields.whole("priority", Integer.MIN_VALUE, Integer.MAX_VALUE);
            }
            return Either.right(new TenantConfiguration(
                    item.key().name(),
                    List.copyOf(keys),
                    priority,
                    fields.amount("ratePerS", 0),
                    fields.amount("burstSize", 0)));
        } catch (ContentFields.Bad e) {
            return Either.left(Rejection.invalid(e.getMessage()));
        }
    }
}
