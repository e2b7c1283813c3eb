package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * Follows the configuration: hears which stamps harbours show, asks one of them for what it lacks, and puts
 * the pieces together. It never goes back: stamps of states that were shown have one order everywhere.
 */
final class ConfigurationSubscriber {

    /** After so long without a further piece another harbour is asked. */
    private static final long PATIENCE = 600_000;

    private ProposalNumber stamp = ProposalNumber.ZERO;
    private Configuration manifest = Configuration.EMPTY;
    private final Map<String, ProposalNumber> shown = new HashMap<>();
    private final Map<String, Map<Integer, List<Item>>> coming = new HashMap<>();
    private String asked;
    private long askedAt;
    private ProposalNumber crewStamp = ProposalNumber.ZERO;
    private Set<String> crew = Set.of();

    ProposalNumber stamp() {
        return stamp;
    }

    Configuration manifest() {
        return manifest;
    }

    /** A harbour shows this stamp. */
    void shows(String harbour, ProposalNumber its) {
        if (its != null) {
            shown.put(harbour, its);
        }
    }

    /**
     * A harbour that shows this stamp says who is in the crew. One that was cut off tells an old crew, in
     * which newer members are missing: only what comes with the newest stamp counts.
     */
    void crew(ProposalNumber its, Set<String> told) {
        if (its != null && !told.isEmpty() && its.compareTo(crewStamp) >= 0) {
            crewStamp = its;
            crew = told;
        }
    }

    /** The harbours of the crew, as far as it was told. */
    Set<String> crew() {
        return crew;
    }

    void lost(String harbour) {
        shown.remove(harbour);
        if (harbour.equals(asked)) {
            asked = null;
        }
    }

    /** Whom to ask for what is newer; null for nobody now. */
    String ask(long now) {
        if (asked != null && now - askedAt < PATIENCE) {
            return null;
        }
        String best = null;
        for (Map.Entry<String, ProposalNumber> one : shown.entrySet()) {
            boolean newer = one.getValue().compareTo(stamp) > 0;
            boolean better = best == null
                    || one.getValue().compareTo(shown.get(best)) > 0
                    || one.getValue().equals(shown.get(best)) && best.equals(asked);
            if (newer && better) {
                best = one.getKey();
            }
        }
        if (best != null) {
            asked = best;
            askedAt = now;
        }
        return best;
    }

    /** A piece of what a harbour tells; whether a newer state is whole now. */
    boolean told(long now, String harbour, Map<String, Object> head, List<Item> items) {
        ProposalNumber to = ProposalNumber.of(JsonCodec.text(head, "stamp"));
        String from = JsonCodec.text(head, "from");
        if (to == null || to.compareTo(stamp) <= 0 || !from.isEmpty() && !from.equals(stamp.toString())) {
            return false;
        }
        askedAt = now;
        Map<Integer, List<Item>> pieces = coming.computeIfAbsent(harbour + " " + from + " " + to, k -> new HashMap<>());
        pieces.put((int) Json.longValue(head, "piece", 0), items);
        if (pieces.size() < Json.longValue(head, "pieces", 1)) {
            return false;
        }
        List<Item> all = new ArrayList<>();
        pieces.values().forEach(all::addAll);
        manifest = (from.isEmpty() ? Configuration.EMPTY : manifest).with(all);
        stamp = to;
        coming.clear();
        asked = null;
        return true;
    }
}
