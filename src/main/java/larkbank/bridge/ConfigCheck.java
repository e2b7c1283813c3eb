package larkbank.bridge;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larkbank.lading.Scribe;
import larkbank.manifest.Item;
import larkbank.manifest.Manifest;
import larkbank.manifest.Order;
import larkbank.manifest.Refusal;
import larkbank.papers.Sheets;

/**
 * All that is wrong with a change, by the rules that harbours take it by. They stop at the first fault; so
 * each one found is mended here and the rest is asked for again, until nothing is left.
 */
final class ConfigCheck {

    /** So many faults are told of one file. */
    private static final int MOST = 200;

    private ConfigCheck() {}

    /** @param base the configuration that stands, as it is read back; null for none */
    static List<Flaw> flaws(byte[] file, byte[] base) {
        Either<String, Map<String, Object>> sheet = Sheets.read(file);
        if (sheet.isLeft()) {
            return List.of(new Flaw(Flaw.WHOLE, sheet.getLeft()));
        }
        Manifest standing = base == null ? Manifest.EMPTY : standing(base);
        boolean change = sheet.get().containsKey("upsert") || sheet.get().containsKey("withdraw");
        // A change is read from its own bytes first: what is there twice is lost on the way to a map.
        Refusal first = change ? refusal(file, standing) : refusal(bytes(wrapped(sheet.get())), standing);
        if (first == null) {
            return List.of();
        }
        List<Flaw> flaws = new ArrayList<>();
        Mending mending = new Mending(change ? sheet.get() : wrapped(sheet.get()));
        for (Refusal next = refusal(bytes(mending.order()), standing);
                next != null && flaws.size() < MOST;
                next = refusal(bytes(mending.order()), standing)) {
            Flaw flaw = mending.mend(next.reason());
            if (flaw == null || flaws.contains(flaw)) {
                flaws.add(Flaw.of(next.reason()));
                break;
            }
            flaws.add(flaw);
        }
        if (flaws.isEmpty()) {
            flaws.add(Flaw.of(first.reason()));
        }
        return flaws;
    }

    private static Manifest standing(byte[] base) {
        return Sheets.read(base)
                .toOption()
                .flatMap(map -> Order.read(bytes(map.containsKey("upsert") ? map : wrapped(map)))
                        .toOption())
                .map(order -> Manifest.of(order.items()))
                .getOrElse(Manifest.EMPTY);
    }

    private static Map<String, Object> wrapped(Map<String, Object> layout) {
        Map<String, Object> order = new LinkedHashMap<>();
        order.put("upsert", layout);
        return order;
    }

    private static byte[] bytes(Map<String, Object> order) {
        return Scribe.bytes(order);
    }

    private static Refusal refusal(byte[] order, Manifest standing) {
        Either<Refusal, Order> read = Order.read(order);
        if (read.isLeft()) {
            return read.getLeft();
        }
        Either<Refusal, List<Item>> taken = read.get().against(standing);
        return taken.isLeft() ? taken.getLeft() : null;
    }
}
