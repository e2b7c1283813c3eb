package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A change whose faults are mended one after the other, so that the next can be found. What it becomes is
 * good for nothing else.
 */
final class ChangeRepairer {

    private static final String STUB = "a service that stands in for others";
    /** Values that are good in any item; null: the field goes. */
    private static final Map<String, Object> GOOD = good();

    private final Map<String, Object> order;
    private int mended;

    @SuppressWarnings("unchecked")
    ChangeRepairer(Map<String, Object> order) {
        this.order = (Map<String, Object>) copy(order);
    }

    Map<String, Object> order() {
        return order;
    }

    private static Map<String, Object> good() {
        Map<String, Object> good = new LinkedHashMap<>();
        good.put("configVersion", "r999999999999999999");
        good.put("hostname", "host");
        good.put("pathPrefix", "/");
        good.put("routeType", "idempotent");
        good.put("service", STUB);
        good.put("weightedSplit", null);
        good.put("healthPath", "/");
        good.put("protocol", "http");
        good.put("apiKeys", List.of());
        for (String time : List.of("timeout", "targetLatency", "headerTimeout", "idleTimeout")) {
            good.put(time, "1s");
        }
        for (String number : List.of(
                "priority", "maxAttempts", "maxConnections", "ratePerS", "burstSize", "weight", "maxBodyBytes")) {
            good.put(number, 1L);
        }
        good.put("maxHeaderBytes", 16_384L);
        good.put("publicAccess", false);
        good.put("tls", false);
        return good;
    }

    /** Mends the fault that a harbour's reason tells of; null where that can't be. */
    ValidationError mend(String reason) {
        if (reason.endsWith("\" is unknown") && order.keySet().removeIf(k -> reason.startsWith("\"" + k + "\""))) {
            return ValidationError.of(reason);
        } else if (reason.startsWith("withdraw.")) {
            return withdrawn(reason);
        }
        String text = reason.startsWith("upsert.") ? reason.substring("upsert.".length()) : reason;
        Map<String, Object> tables = object(order, "upsert");
        for (String table : List.copyOf(tables.keySet())) {
            if (!text.startsWith(table)) {
                continue;
            }
            if (table.equals("limits")) {
                if (text.startsWith("limits.")) {
                    return field(object(tables, table), "limits", text.substring("limits.".length()));
                }
                continue;
            }
            Map<String, Object> items = object(tables, table);
            String name = named(items, table, text);
            if (name != null) {
                return item(items, table, name, text.substring(table.length() + 1 + name.length()));
            }
            // The table itself is none.
            tables.remove(table);
            return new ValidationError(table, text.substring(table.length()).trim());
        }
        return null;
    }

    /** An entry of the withdrawn goes, or all of its table. */
    private ValidationError withdrawn(String reason) {
        String place = reason.split(" ", 2)[0];
        String table = place.split("[\\[.]", 3)[1];
        Map<String, Object> tables = object(order, "withdraw");
        int open = place.indexOf('[');
        int shut = place.indexOf(']');
        if (open > 0 && shut > open && tables.get(table) instanceof List<?> list) {
            list.remove(Integer.parseInt(place.substring(open + 1, shut)));
        } else {
            tables.remove(table);
        }
        return ValidationError.of(reason);
    }

    /** The longest name of an item that the text goes on with. */
    private static String named(Map<String, Object> items, String table, String text) {
        String best = null;
        for (String name : items.keySet()) {
            String start = table + "." + name;
            boolean follows = text.startsWith(start)
                    && (text.length() == start.length() || " .".indexOf(text.charAt(start.length())) >= 0);
            if (follows && (best == null || name.length() > best.length())) {
                best = name;
            }
        }
        return best;
    }

    private ValidationError item(Map<String, Object> items, String table, String name, String rest) {
        String place = table + "." + name;
        if (rest.startsWith(".") && items.get(name) instanceof Map<?, ?>) {
            return field(object(items, name), place, rest.substring(1));
        }
        String unknown = "names service ";
        if (rest.trim().startsWith(unknown) && rest.endsWith(", which is unknown")) {
            String service =
                    rest.trim().substring(unknown.length(), rest.trim().length() - ", which is unknown".length());
            swap(object(items, name), service);
            return new ValidationError(place, rest.trim());
        }
        items.remove(name);
        return new ValidationError(place, rest.trim());
    }

    private ValidationError field(Map<String, Object> item, String place, String rest) {
        int end = rest.indexOf(' ');
        String path = end < 0 ? rest : rest.substring(0, end);
        String field = path.split("[\\[.]", 2)[0];
        Object value = GOOD.get(field);
        if (rest.contains("beside weightedSplit")) {
            value = null;
        } else if (field.equals("weightedSplit") && !item.containsKey("service")) {
            item.put("service", STUB);
        }
        if (value == null) {
            item.remove(field);
        } else if (field.equals("hostname")) {
            item.put(field, "host" + ++mended);
        } else if (field.equals("pathPrefix")) {
            item.put(field, "/mended" + ++mended + "/");
        } else {
            item.put(field, value);
        }
        stub();
        return new ValidationError(place + "." + path, end < 0 ? "is wrong" : rest.substring(end + 1));
    }

    /** The stub in place of a service that is not there. */
    @SuppressWarnings("unchecked")
    private void swap(Map<String, Object> route, String service) {
        route.replace("service", service, STUB);
        if (route.get("weightedSplit") instanceof List<?> splits) {
            for (Object split : splits) {
                if (split instanceof Map<?, ?> map) {
                    ((Map<String, Object>) map).replace("service", service, STUB);
                }
            }
        }
        stub();
    }

    private void stub() {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("healthPath", "/");
        service.put("maxConnections", 1L);
        service.put("configVersion", "r999999999999999999");
        object(object(order, "upsert"), "serviceTable").put(STUB, service);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> in, String name) {
        if (!(in.get(name) instanceof Map<?, ?>)) {
            in.put(name, new LinkedHashMap<String, Object>());
        }
        return (Map<String, Object>) in.get(name);
    }

    private static Object copy(Object value) {
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> copy = new LinkedHashMap<>();
            map.forEach((name, each) -> copy.put((String) name, copy(each)));
            return copy;
        } else if (value instanceof List<?> list) {
            List<Object> copy = new ArrayList<>();
            list.forEach(each -> copy.add(copy(each)));
            return copy;
        }
        return value;
    }
}
