package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.cypressweir.common.transport.JsonCodec;

/**
 * Asks whoever is given, then all that those tell of, until nobody new is told of. Each process is in the
 * list once, with its answer or why there is none: nobody who is told of is left out.
 */
final class FleetDiscovery {

    private final Function<List<String>, List<NodeResponse>> ask;
    private final Map<String, NodeResponse> answers = new LinkedHashMap<>();
    private final Set<String> identities = new HashSet<>();
    /** Names that are told of addresses to ask at. */
    private final Map<String, String> names = new HashMap<>();
    /** Addresses of lines whose process has said nowhere where it is asked. */
    private final Map<String, String> unknown = new LinkedHashMap<>();

    private final Set<String> known = new HashSet<>();

    /** @param ask for the states of some addresses, at once */
    FleetDiscovery(Function<List<String>, List<NodeResponse>> ask) {
        this.ask = ask;
    }

    List<NodeResponse> of(List<String> given) {
        Set<String> next = new LinkedHashSet<>(given);
        while (!next.isEmpty()) {
            Set<String> told = new LinkedHashSet<>();
            for (NodeResponse said : ask.apply(List.copyOf(next))) {
                answers.put(said.at(), said);
                if (!said.silent() && !isTwice(said)) {
                    told.addAll(told(said.state()));
                }
            }
            told.removeAll(answers.keySet());
            next = told;
        }
        List<NodeResponse> all = new ArrayList<>();
        answers.values()
                .forEach(said -> all.add(
                        said.silent()
                                ? new NodeResponse(said.at(), names.getOrDefault(said.at(), ""), null, said.why())
                                : said));
        unknown.forEach((address, name) -> {
            if (!known.contains(address)) {
                all.add(new NodeResponse(address, name, null, "nobody asked knows where it is asked"));
            }
        });
        return all;
    }

    /** Whether it has answered at another of its addresses already; then that answer is dropped. */
    private boolean isTwice(NodeResponse said) {
        known.add(JsonCodec.text(said.state(), "address"));
        boolean twice = !said.name().isEmpty()
                && !identities.add(JsonCodec.text(said.state(), "kind") + " " + said.name() + " "
                        + JsonCodec.text(said.state(), "control"));
        if (twice) {
            answers.remove(said.at());
        }
        return twice;
    }

    private List<String> told(Map<String, Object> state) {
        List<String> told = new ArrayList<>();
        for (String kind : List.of("harbours", "berths", "pilots", "missed")) {
            for (Map<String, Object> one : Query.objects(state, kind)) {
                String control = JsonCodec.text(one, "control");
                String name = kind.equals("harbours") ? "a harbour" : JsonCodec.text(one, "name");
                if (control.isEmpty()) {
                    unknown.putIfAbsent(JsonCodec.text(one, "address"), name);
                } else {
                    known.add(JsonCodec.text(one, "address"));
                    names.put(control, name);
                    told.add(control);
                }
            }
        }
        return told;
    }
}
