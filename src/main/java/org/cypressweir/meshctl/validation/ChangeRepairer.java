package org.cypressweir.meshctl.validation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A copy of a configuration change in which one error after the other is repaired, so that the next one can be
 * found. The result serves no other purpose. It takes the location of an error from the text of the rejection.
 */
final class ChangeRepairer {

    private static final String UPSERT = "upsert";
    private static final String WITHDRAW = "withdraw";
    private static final String LIMITS = "limits";
    private static final String SERVICE = "service";
    private static final String WEIGHTED_SPLIT = "weightedSplit";
    private static final String PLACEHOLDER_SERVICE = "a placeholder for unknown services";
    private static final String HIGHEST_VERSION = "r999999999999999999";
    private static final String UNKNOWN_FIELD = "\" is unknown";
    private static final String UNKNOWN_SERVICE_START = "names service ";
    private static final String UNKNOWN_SERVICE_END = ", which is unknown";
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

    /** Repairs the error that a rejection gives as its reason; null where that is not possible. */
    ValidationError repair(String reason) {
        if (reason.endsWith(UNKNOWN_FIELD)
                && change.keySet().removeIf(field -> reason.startsWith("\"" + field + "\""))) {
            return ValidationError.parse(reason);
        }
        if (reason.startsWith(WITHDRAW + ".")) {
            return repairWithdrawal(reason);
        }
        String prefix = UPSERT + ".";
        return repairUpsert(reason.startsWith(prefix) ? reason.substring(prefix.length()) : reason);
    }

    private ValidationError repairUpsert(String reason) {
        Map<String, Object> tables = object(change, UPSERT);
        for (String table : List.copyOf(tables.keySet())) {
            if (!reason.startsWith(table)) {
                continue;
            }
            if (!table.equals(LIMITS)) {
                return repairTable(tables, table, reason);
            }
            String prefix = LIMITS + ".";
            if (reason.startsWith(prefix)) {
                return repairField(object(tables, table), LIMITS, reason.substring(prefix.length()));
            }
        }
        return null;
    }

    private ValidationError repairTable(Map<String, Object> tables, String table, String reason) {
        Map<String, Object> items = object(tables, table);
        String name = itemName(items, table, reason);
        if (name == null) {
            // The error is the table itself, which is not an object.
            tables.remove(table);
            return new ValidationError(table, reason.substring(table.length()).trim());
        }
        String location = table + "." + name;
        return repairItem(items, name, location, reason.substring(location.length()));
    }

    /** Removes an entry of a list of withdrawn items, or the whole list. */
    private ValidationError repairWithdrawal(String reason) {
        String location = reason.split(" ", 2)[0];
        String table = location.split("[\\[.]", 3)[1];
        Map<String, Object> tables = object(change, WITHDRAW);
        int open = location.indexOf('[');
        int close = location.indexOf(']');
        if (open > 0 && close > open && tables.get(table) instanceof List<?> list) {
            list.remove(Integer.parseInt(location.substring(open + 1, close)));
        } else {
            tables.remove(table);
        }
        return ValidationError.parse(reason);
    }

    /** The longest name of an item that follows the table in the reason; null for none. */
    private static String itemName(Map<String, Object> items, String table, String reason) {
        String longest = null;
        for (String name : items.keySet()) {
            String location = table + "." + name;
            boolean complete = reason.startsWith(location)
                    && (reason.length() == location.length() || " .".indexOf(reason.charAt(location.length())) >= 0);
            if (complete && (longest == null || name.length() > longest.length())) {
                longest = name;
            }
        }
        return longest;
    }

    private ValidationError repairItem(Map<String, Object> items, String name, String location, String rest) {
        if (rest.startsWith(".") && items.get(name) instanceof Map<?, ?>) {
            return repairField(object(items, name), location, rest.substring(1));
        }
        String reason = rest.trim();
        if (reason.startsWith(UNKNOWN_SERVICE_START) && rest.endsWith(UNKNOWN_SERVICE_END)) {
            String service =
                    reason.substring(UNKNOWN_SERVICE_START.length(), reason.length() - UNKNOWN_SERVICE_END.length());
            replaceService(object(items, name), service);
        } else {
            items.remove(name);
        }
        return new ValidationError(location, reason);
    }

    private ValidationError repairField(Map<String, Object> item, String itemLocation, String rest) {
        int end = rest.indexOf(' ');
        String path = end < 0 ? rest : rest.substring(0, end);
        String field = path.split("[\\[.]", 2)[0];
        Object validValue = rest.contains("beside weightedSplit") ? null : VALID_VALUES.get(field);
        if (field.equals(WEIGHTED_SPLIT) && !rest.contains("beside weightedSplit") && !item.containsKey(SERVICE)) {
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
        return new ValidationError(itemLocation + "." + path, end < 0 ? "is wrong" : rest.substring(end + 1));
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
