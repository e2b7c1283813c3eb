package org.cypressweir.meshctl;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.settings.JsonDocuments;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.Rejection;

/**
 * All that is wrong with a change, by the rules that harbours take it by. They stop at the first fault; so
 * each one found is mended here and the rest is asked for again, until nothing is left.
 */
final class ConfigurationCheck {

    /** So many faults are told of one file. */
    private static final int MOST = 200;

    private ConfigurationCheck() {}

    /** @param base the configuration that stands, as it is read back; null for none */
    static List<ValidationError> flaws(byte[] file, byte[] base) {
        Either<String, Map<String, Object>> sheet = JsonDocuments.read(file);
        if (sheet.isLeft()) {
            return List.of(new ValidationError(ValidationError.WHOLE, sheet.getLeft()));
        }
        Configuration standing = base == null ? Configuration.EMPTY : standing(base);
        boolean change = sheet.get().containsKey("upsert") || sheet.get().containsKey("withdraw");
        // A change is read from its own bytes first: what is there twice is lost on the way to a map.
        Rejection first = change ? refusal(file, standing) : refusal(bytes(wrapped(sheet.get())), standing);
        if (first == null) {
            return List.of();
        }
        List<ValidationError> flaws = new ArrayList<>();
        ChangeRepairer mending = new ChangeRepairer(change ? sheet.get() : wrapped(sheet.get()));
        for (Rejection next = refusal(bytes(mending.order()), standing);
                next != null && flaws.size() < MOST;
                next = refusal(bytes(mending.order()), standing)) {
            ValidationError flaw = mending.mend(next.reason());
            if (flaw == null || flaws.contains(flaw)) {
                flaws.add(ValidationError.of(next.reason()));
                break;
            }
            flaws.add(flaw);
        }
        if (flaws.isEmpty()) {
            flaws.add(ValidationError.of(first.reason()));
        }
        return flaws;
    }

    private static Configuration standing(byte[] base) {
        return JsonDocuments.read(base)
                .toOption()
                .flatMap(map -> ConfigurationChange.read(bytes(map.containsKey("upsert") ? map : wrapped(map)))
                        .toOption())
                .map(order -> Configuration.of(order.items()))
                .getOrElse(Configuration.EMPTY);
    }

    private static Map<String, Object> wrapped(Map<String, Object> layout) {
        Map<String, Object> order = new LinkedHashMap<>();
        order.put("upsert", layout);
        return order;
    }

    private static byte[] bytes(Map<String, Object> order) {
        return JsonCodec.bytes(order);
    }

    private static Rejection refusal(byte[] order, Configuration standing) {
        Either<Rejection, ConfigurationChange> read = ConfigurationChange.read(order);
        if (read.isLeft()) {
            return read.getLeft();
        }
        Either<Rejection, List<Item>> taken = read.get().applyTo(standing);
        return taken.isLeft() ? taken.getLeft() : null;
    }
}
