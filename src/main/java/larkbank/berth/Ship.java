package larkbank.berth;

import java.util.Map;
import larkbank.Json;
import larkbank.lading.Scribe;

/**
 * One life of an application server.
 *
 * @param warmAt when it will be as fast as it gets, by the clock of who holds this; 0: long since
 */
public record Ship(String id, String service, String address, int slots, boolean draining, long warmAt) {

    /** What another process is told; times are told as what is left of them. */
    public Map<String, Object> toMap(long now) {
        return Scribe.map(
                "id",
                id,
                "service",
                service,
                "address",
                address,
                "slots",
                slots,
                "draining",
                draining,
                "warm",
                Math.max(0, warmAt - now));
    }

    static Ship of(Map<?, ?> map, long now) {
        long warm = Json.whole(map, "warm", 0);
        return Scribe.text(map, "id").isEmpty()
                ? null
                : new Ship(
                        Scribe.text(map, "id"),
                        Scribe.text(map, "service"),
                        Scribe.text(map, "address"),
                        (int) Json.whole(map, "slots", 1),
                        Json.flag(map, "draining"),
                        warm == 0 ? 0 : now + warm);
    }
}
