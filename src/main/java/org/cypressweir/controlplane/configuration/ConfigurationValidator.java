package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.Collection;

/**
 * Checks that a valid configuration is still valid after a change. Only changed items are checked; for the
 * withdrawal of a service all routes are. Stateless.
 */
final class ConfigurationValidator {

    private ConfigurationValidator() {}

    /** Rejects the first item that is invalid by itself; null where there is none. */
    static Rejection validateItems(Collection<Item> changed) {
        for (Item item : changed) {
            if (!item.withdrawn()) {
                Either<Rejection, ?> parsed = parse(item);
                if (parsed.isLeft()) {
                    return parsed.getLeft();
                }
            }
        }
        return null;
    }

    private static Either<Rejection, ?> parse(Item item) {
        return switch (item.key().type()) {
            case ROUTES -> RouteConfiguration.of(item);
            case TENANTS -> TenantConfiguration.of(item);
            case SERVICES -> ServiceConfiguration.of(item);
            case LIMITS -> ClientLimits.of(item);
            case ROLLOUTS -> Rollout.of(item);
        };
    }

    /**
     * Rejects the first invalid reference or duplicate unique key between items; null where there is none.
     *
     * @param next the configuration after the change
     * @param changed its items that changed, each valid by itself
     */
    static Rejection validateRelations(Configuration next, Collection<Item> changed) {
        for (Item item : changed) {
            Rejection rejection = validateReferences(next, item);
            if (rejection != null) {
                return rejection;
            }
        }
        return validateApiKeys(next, changed);
    }

    private static Rejection validateReferences(Configuration next, Item item) {
        ItemType type = item.key().type();
        if (item.withdrawn()) {
            return type == ItemType.SERVICES
                    ? validateUnreferenced(next, item.key().name())
                    : null;
        }
        return type == ItemType.ROUTES ? validateRoute(next, item) : null;
    }

    private static Rejection validateRoute(Configuration next, Item route) {
        for (String service : RouteConfiguration.services(route.content())) {
            if (next.active(new ItemKey(ItemType.SERVICES, service)) == null) {
                return unknownService(route, service);
            }
        }
        UniqueKey.HostAndPath match = UniqueKey.ofRoute(route);
        ItemKey owner = next.owner(match);
        if (owner.equals(route.key())) {
            return null;
        }
        return Rejection.invalid(
                route.key() + " has the same hostname and pathPrefix as " + owner + ": " + match,
                new RejectionCause.InvalidItem(route.key()));
    }

    private static Rejection validateUnreferenced(Configuration next, String service) {
        for (Item route : next.active(ItemType.ROUTES)) {
            if (RouteConfiguration.services(route.content()).contains(service)) {
                return unknownService(route, service);
            }
        }
        return null;
    }

    private static Rejection unknownService(Item route, String service) {
        return Rejection.invalid(
                route.key() + " names service " + service + ", which is unknown",
                new RejectionCause.UnknownService(route.key(), service));
    }

    private static Rejection validateApiKeys(Configuration next, Collection<Item> changed) {
        for (Item item : changed) {
            if (item.key().type() != ItemType.TENANTS) {
                continue;
            }
            for (UniqueKey key : UniqueKey.of(item)) {
                ItemKey owner = next.owner(key);
                if (!item.key().equals(owner)) {
                    return Rejection.invalid(
                            item.key() + " has the same apiKey as " + owner,
                            new RejectionCause.InvalidItem(item.key()));
                }
            }
        }
        return null;
    }
}
