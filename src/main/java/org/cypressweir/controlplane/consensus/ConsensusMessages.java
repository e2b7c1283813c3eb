package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Item;

/** Messages as maps ready for JSON, and their fields; an IllegalArgumentException where there is no such. */
final class ConsensusMessages {

    static final String PREPARE = "copies.prepare";
    static final String PROMISE = "copies.promise";
    static final String NACK = "copies.nack";
    static final String ACCEPT = "copies.accept";
    static final String ACCEPTED = "copies.accepted";
    static final String MISMATCH = "copies.mismatch";
    static final String DECIDED = "copies.decided";
    static final String TELL = "copies.tell";
    static final String TEACH = "copies.teach";
    static final String TOLD = "copies.told";
    static final String FETCH = "copies.fetch";
    static final String PIECE = "copies.piece";
    static final String GONE = "copies.gone";
    static final String ADMIT = "copies.admit";
    static final String LEAVE = "copies.leave";

    private static final int MOST_CREW = 1_000;

    private ConsensusMessages() {}

    /** A message of that kind with names and values by turns. */
    static Map<String, Object> of(String kind, Object... fields) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("t", kind);
        for (int i = 0; i < fields.length; i += 2) {
            Object value = fields[i + 1];
            message.put((String) fields[i], value instanceof ProposalNumber ? value.toString() : value);
        }
        return message;
    }

    static ProposalNumber stamp(Map<?, ?> message, String name) {
        if (!(message.get(name) instanceof String text)) {
            throw new IllegalArgumentException(name);
        }
        return ProposalNumber.of(text);
    }

    static List<ProposalNumber> stamps(Map<?, ?> message, String name) {
        if (!(message.get(name) instanceof List<?> list) || list.size() > MOST_CREW) {
            throw new IllegalArgumentException(name);
        }
        return list.stream()
                .map(text -> ProposalNumber.of(String.valueOf(text)))
                .toList();
    }

    static long number(Map<?, ?> message, String name) {
        if (!(message.get(name) instanceof Number number)) {
            throw new IllegalArgumentException(name);
        }
        return number.longValue();
    }

    static boolean flag(Map<?, ?> message, String name) {
        if (!(message.get(name) instanceof Boolean flag)) {
            throw new IllegalArgumentException(name);
        }
        return flag;
    }

    static List<String> crew(Map<?, ?> message) {
        if (!(message.get("crew") instanceof List<?> list)
                || list.size() > MOST_CREW
                || !list.stream().allMatch(String.class::isInstance)) {
            throw new IllegalArgumentException("crew");
        }
        return list.stream().map(String.class::cast).distinct().sorted().toList();
    }

    static List<String> someCrew(Map<?, ?> message) {
        List<String> crew = crew(message);
        if (crew.isEmpty()) {
            throw new IllegalArgumentException("crew");
        }
        return crew;
    }

    static List<Item> items(Map<?, ?> message) {
        if (!(message.get("items") instanceof List<?> list)) {
            throw new IllegalArgumentException("items");
        }
        List<Item> items = new ArrayList<>();
        for (Object each : list) {
            if (!(each instanceof Map<?, ?> map)) {
                throw new IllegalArgumentException("items");
            }
            items.add(Item.of(map));
        }
        return items;
    }

    static List<Map<String, Object>> maps(List<Item> items) {
        return items.stream().map(Item::toMap).toList();
    }
}
