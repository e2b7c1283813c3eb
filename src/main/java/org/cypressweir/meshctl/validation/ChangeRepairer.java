package org.cypressweir.meshctl.validation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.Rejection;
import org.cypressweir.controlplane.configuration.RejectionCause;

/**
 * A copy of a configuration change in which one error after the other is repaired, so that the next one can be
 * found. The result serves no other purpose. The {@link RejectionCause} says what to repair; the text of the rejection
 * is only reported.
 */
final class ChangeRepairer {

    private static final String UPSERT = "upsert";
    private static final String WITHDRAW = "withdraw";
    private static final String SERVICE = "service";
    private static final String WEIGHTED_SPLIT = "weightedSplit";
    private static final String PLACEHOLDER_SERVICE = "a placeholder for unknown services";
    private static final String HIGHEST_VERSION = "r999999999999999999";
    private static final String UPSERT_PREFIX = UPSERT + ".";
    private static final Pattern END_OF_FIELD_NAME = Pattern.compile("[\\[.]");
    /** Values that are valid in any item. A field without one is removed. */
    private static final Map<String, Object> VALID_VALUES = validValues();

    private final Map<String, Object> change;
    private int uniqueValues;

    @SuppressWarnings("unchecked")
    ChangeRepairer(Map<String, Object> change) {
        this.change = (Map<String, Object>) deepCopy(change);
    }

    private static Map<String, Object> validValues() {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("configVersion", HIGHEST_VERSION);
        values.put("hostname", "host");
        values.put("pathPrefix", "/");
        values.put("routeType", "idempotent");
        values.put(SERVICE, PLACEHOLDER_SERVICE);
        values.put("healthPath", "/");
        values.put("protocol", "http");
        values.put("apiKeys", List.of());
        for (String duration : List.of("timeout", "targetLatency", "headerTimeout", "idleTimeout")) {
            values.put(duration, "1s");
        }
        for (String number : List.of(
                "priority", "maxAttempts", "maxConnections", "ratePerS", "burstSize", "weight", "maxBodyBytes")) {
            values.put(number, 1L);
        }
        values.put("maxHeaderBytes", 16_384L);
        values.put("publicAccess", false);
        values.put("tls", false);
        return values;
    }

    Map<String, Object> change() {
        return change;
    }

    /** Repairs the error that a change was rejected for; null where that is not possible. */
    ValidationError repair(Rejection rejection) {
        String reason = rejection.reason();
        RejectionCause cause = rejection.cause();
        if (cause instanceof RejectionCause.UnknownSection section) {
            change.remove(section.name());
            return ValidationError.parse(reason);
        }
        if (cause instanceof RejectionCause.WithdrawnTable withdrawn) {
            object(change, WITHDRAW).remove(withdrawn.table());
            return ValidationError.parse(reason);
        }
        if (cause instanceof RejectionCause.WithdrawnItem withdrawn) {
            removeWithdrawal(withdrawn);
            return ValidationError.parse(reason);
        }
        return repairUpsert(
                cause, reason.startsWith(UPSERT_PREFIX) ? reason.substring(UPSERT_PREFIX.length()) : reason);
    }

    private void removeWithdrawal(RejectionCause.WithdrawnItem withdrawn) {
        if (object(change, WITHDRAW).get(withdrawn.table()) instanceof List<?> entries) {
            entries.remove(withdrawn.index());
        }
    }

    /** @param reason begins with the location of the error within the tables */
    private ValidationError repairUpsert(RejectionCause cause, String reason) {
        if (cause instanceof RejectionCause.UpsertedTable table) {
            return removeTable(table.table(), reason);
        }
        if (cause instanceof RejectionCause.InvalidItem invalid) {
            return repairItem(invalid.item(), reason, (items, item) -> items.remove(item.name()));
        }
        if (cause instanceof RejectionCause.UnknownService unknown) {
            return repairItem(
                    unknown.route(),
                    reason,
                    (items, route) -> replaceService(object(items, route.name()), unknown.service()));
        }
        return cause instanceof RejectionCause.InvalidField field ? repairField(field, reason) : null;
    }

    /** Limits are no table of items: they are not removed as a whole. */
    private ValidationError removeTable(String table, String reason) {
        Map<String, Object> tables = object(change, UPSERT);
        if (table.equals(ItemType.LIMITS.wireName()) || !tables.containsKey(table)) {
            return null;
        }
        tables.remove(table);
        return errorAt(table, reason);
    }

    private ValidationError repairItem(ItemKey item, String reason, BiConsumer<Map<String, Object>, ItemKey> repair) {
        String table = item.type().wireName();
        Map<String, Object> tables = object(change, UPSERT);
        if (!tables.containsKey(table) || !object(tables, table).containsKey(item.name())) {
            // An item of the base configuration or one to withdraw: the table does not agree with it.
            return removeTable(table, reason);
        }
        repair.accept(object(tables, table), item);
        return errorAt(item.toString(), reason);
    }

    private ValidationError repairField(RejectionCause.InvalidField field, String reason) {
        ItemKey item = field.item();
        boolean isLimits = item.equals(ItemKey.LIMITS);
        String table = item.type().wireName();
        Map<String, Object> tables = object(change, UPSERT);
        Map<String, Object> items = isLimits ? tables : object(tables, table);
        String name = isLimits ? table : item.name();
        if (!(items.get(name) instanceof Map<?, ?>)) {
            items.remove(name);
            return errorAt(item.toString(), reason);
        }
        repairField(object(items, name), field);
        return errorAt(item + "." + field.path(), reason);
    }

    private void repairField(Map<String, Object> item, RejectionCause.InvalidField invalid) {
        String field = END_OF_FIELD_NAME.split(invalid.path(), 2)[0];
        Object validValue = invalid.mustBeAbsent() ? null : VALID_VALUES.get(field);
        if (field.equals(WEIGHTED_SPLIT) && !item.containsKey(SERVICE)) {
            item.put(SERVICE, PLACEHOLDER_SERVICE);
        }
        if (validValue == null) {
            item.remove(field);
        } else if (field.equals("hostname")) {
            item.put(field, "host" + ++uniqueValues);
        } else if (field.equals("pathPrefix")) {
            item.put(field, "/repaired" + ++uniqueValues + "/");
        } else {
            item.put(field, validValue);
        }
        addPlaceholderService();
    }

    private static ValidationError errorAt(String location, String reason) {
        return new ValidationError(location, reason.substring(location.length()).trim());
    }

    /** Puts the placeholder in place of a service that does not exist. */
    @SuppressWarnings("unchecked")
    private void replaceService(Map<String, Object> route, String service) {
        route.replace(SERVICE, service, PLACEHOLDER_SERVICE);
        if (route.get(WEIGHTED_SPLIT) instanceof List<?> destinations) {
            for (Object destination : destinations) {
                if (destination instanceof Map<?, ?> map) {
                    ((Map<String, Object>) map).replace(SERVICE, service, PLACEHOLDER_SERVICE);
                }
            }
        }
        addPlaceholderService();
    }

    private void addPlaceholderService() {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("healthPath", "/");
        service.put("maxConnections", 1L);
        service.put("configVersion", HIGHEST_VERSION);
        object(object(change, UPSERT), "serviceTable").put(PLACEHOLDER_SERVICE, service);
    }

    /** The object in a field; put there if there is none. */
    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> parent, String name) {
        if (!(parent.get(name) instanceof Map<?, ?>)) {
            parent.put(name, new LinkedHashMap<String, Object>());
        }
        return (Map<String, Object>) parent.get(name);
    }

    private static Object deepCopy(Object value) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> copy = new LinkedHashMap<>();
            map.forEach((name, element) -> copy.put((String) name, deepCopy(element)));
            return copy;
        }
        if (value instanceof List<?> list) {
            List<Object> copy = new ArrayList<>();
            list.forEach(element -> copy.add(deepCopy(element)));
            return copy;
        }
        return value;
    }
}
