package org.cypressweir.meshctl.validation;

import java.util.function.BiConsumer;
import java.util.regex.Pattern;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.Rejection;
import org.cypressweir.controlplane.configuration.RejectionCause;

/**
 * Repairs the errors of a configuration change in a copy, one after the other, so that the next error can be found. The
 * repaired copy is used for nothing else. The {@link RejectionCause} determines what to repair; the text of the
 * rejection is only reported.
 */
final class ChangeRepairer {

    private static final String UPSERT = "upsert";
    private static final String WITHDRAW = "withdraw";
    private static final String SERVICE = "service";
    private static final String WEIGHTED_SPLIT = "weightedSplit";
    private static final String PLACEHOLDER_SERVICE = "a placeholder for unknown services";
    private static final String UPSERT_PREFIX = UPSERT + ".";
    private static final Pattern END_OF_FIELD_NAME = Pattern.compile("[\\[.]");

    private final MutableJsonObject change;
    private int uniqueValues;

    /** @param change is copied, not changed */
    ChangeRepairer(MutableJsonObject change) {
        this.change = change.copy();
    }

    /** The repaired change as JSON. */
    byte[] change() {
        return change.encoded();
    }

    /** Repairs the error for which the change was rejected; returns the error, or null if it cannot be repaired. */
    ValidationError repair(Rejection rejection) {
        String reason = rejection.reason();
        RejectionCause cause = rejection.cause();
        if (cause instanceof RejectionCause.UnknownSection section) {
            change.remove(section.name());
            return ValidationError.parse(reason);
        }
        if (cause instanceof RejectionCause.WithdrawnTable withdrawn) {
            change.object(WITHDRAW).remove(withdrawn.table());
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
        MutableJsonObject tables = change.object(WITHDRAW);
        if (tables.hasArray(withdrawn.table())) {
            tables.removeElement(withdrawn.table(), withdrawn.index());
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
                    (items, route) -> replaceService(items.object(route.name()), unknown.service()));
        }
        return cause instanceof RejectionCause.InvalidField field ? repairField(field, reason) : null;
    }

    /** Removes a table. The limits are not a table of items, so they are not removed as a whole. */
    private ValidationError removeTable(String table, String reason) {
        MutableJsonObject tables = change.object(UPSERT);
        if (table.equals(ItemType.LIMITS.wireName()) || !tables.has(table)) {
            return null;
        }
        tables.remove(table);
        return errorAt(table, reason);
    }

    private ValidationError repairItem(ItemKey item, String reason, BiConsumer<MutableJsonObject, ItemKey> repair) {
        String table = item.type().wireName();
        MutableJsonObject tables = change.object(UPSERT);
        if (!tables.has(table) || !tables.object(table).has(item.name())) {
            // The item is in the base configuration or is withdrawn, and the table conflicts with it.
            return removeTable(table, reason);
        }
        repair.accept(tables.object(table), item);
        return errorAt(item.toString(), reason);
    }

    private ValidationError repairField(RejectionCause.InvalidField field, String reason) {
        ItemKey item = field.item();
        boolean isLimits = item.equals(ItemKey.LIMITS);
        String table = item.type().wireName();
        MutableJsonObject tables = change.object(UPSERT);
        MutableJsonObject items = isLimits ? tables : tables.object(table);
        String name = isLimits ? table : item.name();
        if (!items.hasObject(name)) {
            items.remove(name);
            return errorAt(item.toString(), reason);
        }
        repairField(items.object(name), field);
        return errorAt(item + "." + field.path(), reason);
    }

    private void repairField(MutableJsonObject item, RejectionCause.InvalidField invalid) {
        String field = END_OF_FIELD_NAME.split(invalid.path(), 2)[0];
        if (field.equals(WEIGHTED_SPLIT) && !item.has(SERVICE)) {
            item.set(SERVICE, PLACEHOLDER_SERVICE);
        }
        if (invalid.mustBeAbsent() || !setValidValue(item, field)) {
            item.remove(field);
        }
        addPlaceholderService();
    }

    private static ValidationError errorAt(String location, String reason) {
        return new ValidationError(location, reason.substring(location.length()).trim());
    }

    /** Sets a field to a value that conflicts with no other item; false if no valid value is known for the field. */
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

    /** Replaces a service that does not exist by the placeholder. */
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
