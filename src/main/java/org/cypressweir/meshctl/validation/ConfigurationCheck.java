package org.cypressweir.meshctl.validation;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.Rejection;

/**
 * Finds every error of a configuration change by the controllers' own validation. That stops at the first error, so
 * each error that is found is repaired in a copy, which is validated again until no error is left.
 */
public final class ConfigurationCheck {

    private static final String UPSERT = "upsert";
    private static final String WITHDRAW = "withdraw";
    private static final int MAX_ERRORS = 200;

    private ConfigurationCheck() {}

    /**
     * @param file a change with "upsert" or "withdraw", or a complete configuration
     * @param base the configuration that the change applies to, as the read call returns it; null for an empty one
     */
    public static List<ValidationError> errors(byte[] file, byte[] base) {
        Either<String, MutableJsonObject> document = MutableJsonObject.read(file);
        if (document.isLeft()) {
            return List.of(new ValidationError(ValidationError.WHOLE_FILE, document.getLeft()));
        }
        MutableJsonObject content = document.get();
        Configuration current = base == null ? Configuration.EMPTY : configuration(base);
        boolean isChange = content.has(UPSERT) || content.has(WITHDRAW);
        // The file's own bytes are validated first, since parsing into a map would hide duplicate fields.
        Rejection first = rejection(isChange ? file : asChange(content).encoded(), current);
        if (first == null) {
            return List.of();
        }
        List<ValidationError> errors = repairAll(isChange ? content : asChange(content), current);
        return errors.isEmpty() ? List.of(ValidationError.parse(first.reason())) : errors;
    }

    private static List<ValidationError> repairAll(MutableJsonObject change, Configuration current) {
        List<ValidationError> errors = new ArrayList<>();
        ChangeRepairer repairer = new ChangeRepairer(change);
        Rejection next = rejection(repairer.change(), current);
        while (next != null && errors.size() < MAX_ERRORS) {
            ValidationError error = repairer.repair(next);
            if (error == null || errors.contains(error)) {
                errors.add(ValidationError.parse(next.reason()));
                break;
            }
            errors.add(error);
            next = rejection(repairer.change(), current);
        }
        return errors;
    }

    private static Configuration configuration(byte[] base) {
        return MutableJsonObject.read(base)
                .toOption()
                .map(content -> content.has(UPSERT) ? content : asChange(content))
                .flatMap(change -> ConfigurationChange.read(change.encoded()).toOption())
                .map(change -> Configuration.of(change.items()))
                .getOrElse(Configuration.EMPTY);
    }

    private static MutableJsonObject asChange(MutableJsonObject configuration) {
        return new MutableJsonObject().set(UPSERT, configuration);
    }

    /** The first reason to reject the change, or null if it is valid. */
    private static Rejection rejection(byte[] change, Configuration current) {
        Either<Rejection, ConfigurationChange> read = ConfigurationChange.read(change);
        if (read.isLeft()) {
            return read.getLeft();
        }
        Either<Rejection, List<Item>> items = read.get().applyTo(current);
        return items.isLeft() ? items.getLeft() : null;
    }
}
