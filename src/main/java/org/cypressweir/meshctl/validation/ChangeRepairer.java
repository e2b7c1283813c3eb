package org.cypressweir.meshctl.validation;

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
    private static final String UNKNOWN_FIELD = "\" is unknown";
    private static final String UNKNOWN_SERVICE_START = "names service ";
    private static final String UNKNOWN_SERVICE_END = ", which is unknown";

    private final MutableJsonObject change;
    private int uniqueValues;

    /** @param change is copied, not changed */
    ChangeRepairer(MutableJsonObject change) {
        this.change = change.copy();
    }

    /** The change with its repairs, as JSON. */
    byte[] change() {
        return change.encoded();
    }

    /** Repairs the error that a rejection gives as its reason; null where that is not possible. */
    ValidationError repair(String reason) {
        if (reason.endsWith(UNKNOWN_FIELD) && change.removeIf(field -> reason.startsWith("\"" + field + "\""))) {
            return ValidationError.parse(reason);
        }
        if (reason.startsWith(WITHDRAW + ".")) {
            return repairWithdrawal(reason);
        }
        String prefix = UPSERT + ".";
        return repairUpsert(reason.startsWith(prefix) ? reason.substring(prefix.length()) : reason);
    }

    private ValidationError repairUpsert(String reason) {
        MutableJsonObject tables = change.object(UPSERT);
        for (String table : tables.names()) {
            if (!reason.startsWith(table)) {
                continue;
            }
            if (!table.equals(LIMITS)) {
                return repairTable(tables, table, reason);
            }
            String prefix = LIMITS + ".";
            if (reason.startsWith(prefix)) {
                return repairField(tables.object(table), LIMITS, reason.substring(prefix.length()));
            }
        }
        return null;
    }

    private ValidationError repairTable(MutableJsonObject tables, String table, String reason) {
        MutableJsonObject items = tables.object(table);
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
        MutableJsonObject tables = change.object(WITHDRAW);
        int open = location.indexOf('[');
        int close = location.indexOf(']');
        if (open > 0 && close > open && tables.hasArray(table)) {
            tables.removeElement(table, Integer.parseInt(location.substring(open + 1, close)));
        } else {
            tables.remove(table);
        }
        return ValidationError.parse(reason);
    }

    /** The longest name of an item that follows the table in the reason; null for none. */
    private static String itemName(MutableJsonObject items, String table, String reason) {
        String longest = null;
        for (String name : items.names()) {
            String location = table + "." + name;
            boolean complete = reason.startsWith(location)
                    && (reason.length() == location.length() || " .".indexOf(reason.charAt(location.length())) >= 0);
            if (complete && (longest == null || name.length() > longest.length())) {
                longest = name;
            }
        }
        return longest;
    }

    private ValidationError repairItem(MutableJsonObject items, String name, String location, String rest) {
        if (rest.startsWith(".") && items.hasObject(name)) {
            return repairField(items.object(name), location, rest.substring(1));
        }
        String reason = rest.trim();
        if (reason.startsWith(UNKNOWN_SERVICE_START) && rest.endsWith(UNKNOWN_SERVICE_END)) {
            String service =
                    reason.substring(UNKNOWN_SERVICE_START.length(), reason.length() - UNKNOWN_SERVICE_END.length());
            replaceService(items.object(name), service);
        } else {
            items.remove(name);
        }
        return new ValidationError(location, reason);
    }

    private ValidationError repairField(MutableJsonObject item, String itemLocation, String rest) {
        int end = rest.indexOf(' ');
        String path = end < 0 ? rest : rest.substring(0, end);
        String field = path.split("[\\[.]", 2)[0];
        boolean besideSplit = rest.contains("beside weightedSplit");
        if (field.equals(WEIGHTED_SPLIT) && !besideSplit && !item.has(SERVICE)) {
            item.set(SERVICE, PLACEHOLDER_SERVICE);
        }
        if (besideSplit || !setValidValue(item, field)) {
            item.remove(field);
        }
        addPlaceholderService();
        return new ValidationError(itemLocation + "." + path, end < 0 ? "is wrong" : rest.substring(end + 1));
    }

    /** Gives a field a value that is valid beside all other items; false for a field of which none is known. */
    private boolean setValidValue(MutableJsonObject item, String field) {
        switch (field) {
            case SERVICE -> item.set(field, PLACEHOLDER_SERVICE);
            case "hostname" -> item.set(field, "host" + ++uniqueValues);
            case "pathPrefix" -> item.set(field, "/repaired" + ++uniqueValues + "/");
            default -> {
                return ValidValues.set(item, field);
            }
        }
        return true;
    }

    /** Puts the placeholder in place of a service that does not exist. */
    private void replaceService(MutableJsonObject route, String service) {
        route.replace(SERVICE, service, PLACEHOLDER_SERVICE);
        for (MutableJsonObject destination : route.objects(WEIGHTED_SPLIT)) {
            destination.replace(SERVICE, service, PLACEHOLDER_SERVICE);
        }
        addPlaceholderService();
    }

    private void addPlaceholderService() {
        MutableJsonObject service = new MutableJsonObject()
                .set("healthPath", "/")
                .set("maxConnections", 1)
                .set("configVersion", ValidValues.HIGHEST_VERSION);
        change.object(UPSERT).object("serviceTable").set(PLACEHOLDER_SERVICE, service);
    }
}
