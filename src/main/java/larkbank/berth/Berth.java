package larkbank.berth;

import java.util.Map;
import larkbank.Json;
import larkbank.lading.Scribe;

/**
 * A pilot and the server beside it, as the pilot tells it. A later life goes before an earlier one, and
 * within a life a higher number.
 *
 * @param address where its lines are taken
 * @param control where it answers what operators ask; empty of a pilot that does not tell it
 * @param leaving whether it ends soon and takes nothing new
 * @param ship null where no server is known
 */
public record Berth(
        String name,
        long life,
        long number,
        String address,
        String control,
        String zone,
        String service,
        boolean leaving,
        Ship ship) {

    public Map<String, Object> toMap(long now) {
        return Scribe.map(
                "name",
                name,
                "life",
                life,
                "number",
                number,
                "address",
                address,
                "control",
                control,
                "zone",
                zone,
                "service",
                service,
                "leaving",
                leaving,
                "ship",
                ship == null ? null : ship.toMap(now));
    }

    /** What was told; null where it is no berth. */
    public static Berth of(Map<?, ?> map, long now) {
        if (Scribe.text(map, "name").isEmpty() || Scribe.text(map, "address").isEmpty()) {
            return null;
        }
        return new Berth(
                Scribe.text(map, "name"),
                Json.whole(map, "life", 0),
                Json.whole(map, "number", 0),
                Scribe.text(map, "address"),
                Scribe.text(map, "control"),
                Scribe.text(map, "zone"),
                Scribe.text(map, "service"),
                Json.flag(map, "leaving"),
                Ship.of(Json.object(map, "ship"), now));
    }

    /** Whether this tells more than the other, which may be null. */
    public boolean isNewer(Berth other) {
        return other == null || life > other.life || life == other.life && number > other.number;
    }

    /** Whether requests may be sent to its server, as far as it tells itself. */
    public boolean takes() {
        return ship != null && !ship.draining() && !leaving;
    }
}
