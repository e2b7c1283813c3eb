package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cypressweir.dataplane.http.upstream.RequestState.ClientAction;
import org.cypressweir.dataplane.http.upstream.RequestState.State;
import org.junit.jupiter.api.Test;

/**
 * Compares the table of request states in the documentation with the code; {@code -Drequest-state-table=write}
 * rewrites the table instead.
 */
class RequestStateTableTest {

    private static final Path PAGE = Path.of("docs/design/upstream.md");
    private static final String BEGIN = "<!-- request-state: begin -->\n";
    private static final String END = "<!-- request-state: end -->\n";
    private static final int MAX_HISTORY = 6;

    private enum Event {
        SENT,
        NOT_RUN,
        MAY_HAVE_RUN,
        RESPONDED,
        RESPONDED_NOT_RUN,
        RESPONDED_FAILURE,
        NO_MORE_ATTEMPTS,
        DEADLINE,
        CLIENT_DISCONNECTED
    }

    private static final Map<Event, String> TITLES = new EnumMap<>(Map.of(
            Event.SENT,
            "an attempt is sent",
            Event.NOT_RUN,
            "one has not run",
            Event.MAY_HAVE_RUN,
            "one may have run",
            Event.RESPONDED,
            "response below 500",
            Event.RESPONDED_NOT_RUN,
            "response 408, 421, 429, 503",
            Event.RESPONDED_FAILURE,
            "response from 500 on",
            Event.NO_MORE_ATTEMPTS,
            "no further attempt, none awaited",
            Event.DEADLINE,
            "deadline",
            Event.CLIENT_DISCONNECTED,
            "the client disconnects"));

    /** A request to which a sequence of events was applied. */
    private static final class Replay {
        private final RequestState state;
        private int attempts;

        private Replay(boolean idempotent, List<Event> events) {
            state = new RequestState(idempotent);
            events.forEach(this::apply);
        }

        /** Applies an event; returns the action for the client, or null if the event cannot happen in this state. */
        private ClientAction apply(Event event) {
            return switch (event) {
                case SENT -> {
                    int attempt = state.beginAttempt();
                    attempts++;
                    if (!state.trySend(attempt)) {
                        state.onOutcome(attempt, new RequestOutcome.NotRun(RejectionReason.GONE, 0));
                        yield null;
                    }
                    yield ClientAction.NONE;
                }
                case NOT_RUN -> end(new RequestOutcome.NotRun(RejectionReason.FULL, 0));
                case MAY_HAVE_RUN -> end(new RequestOutcome.MayHaveRun(""));
                case RESPONDED -> end(new RequestOutcome.Responded(200, List.of(), null));
                case RESPONDED_NOT_RUN -> end(new RequestOutcome.Responded(429, List.of(), null));
                case RESPONDED_FAILURE -> end(new RequestOutcome.Responded(500, List.of(), null));
                case NO_MORE_ATTEMPTS, DEADLINE -> applyAction(state.finalAction(event == Event.DEADLINE));
                case CLIENT_DISCONNECTED -> {
                    state.onDisconnect();
                    yield ClientAction.NONE;
                }
            };
        }

        private ClientAction end(RequestOutcome outcome) {
            for (int i = 0; i < attempts; i++) {
                if (state.isPending(i)) {
                    return applyAction(state.onOutcome(i, outcome));
                }
            }
            return null;
        }

        private ClientAction applyAction(ClientAction action) {
            if (action != ClientAction.NONE && action != ClientAction.SAVE_RESPONSE) {
                state.markResponded();
            }
            return action;
        }
    }

    @Test
    void tableInDocumentationMatchesTheCode() throws IOException {
        String page = Files.readString(PAGE);
        int begin = page.indexOf(BEGIN) + BEGIN.length();
        int end = page.indexOf(END);
        String table = table(false) + "\n" + table(true);
        if ("write".equals(System.getProperty("request-state-table"))) {
            Files.writeString(PAGE, page.substring(0, begin) + table + page.substring(end));
        } else {
            assertThat(page.substring(begin, end)).isEqualTo(table);
        }
    }

    private static String table(boolean idempotent) {
        Map<State, Map<Event, Set<String>>> cells = new EnumMap<>(State.class);
        explore(idempotent, new ArrayList<>(), cells);
        StringBuilder table = new StringBuilder(idempotent ? "Idempotent:\n\n" : "Not idempotent:\n\n");
        table.append("| state |");
        for (Event event : Event.values()) {
            table.append(' ').append(TITLES.get(event)).append(" |");
        }
        table.append("\n|").append(" --- |".repeat(1 + Event.values().length)).append('\n');
        cells.forEach((state, row) -> {
            table.append("| ").append(lowerCase(state)).append(" |");
            for (Event event : Event.values()) {
                Set<String> cell = row.getOrDefault(event, Set.of());
                table.append(' ')
                        .append(cell.isEmpty() ? "-" : String.join(", or ", cell))
                        .append(" |");
            }
            table.append('\n');
        });
        return table.toString();
    }

    private static void explore(boolean idempotent, List<Event> history, Map<State, Map<Event, Set<String>>> cells) {
        State from = new Replay(idempotent, history).state.state();
        Map<Event, Set<String>> row = cells.computeIfAbsent(from, s -> new EnumMap<>(Event.class));
        for (Event event : Event.values()) {
            Replay replay = new Replay(idempotent, history);
            ClientAction action = replay.apply(event);
            if (action == null) {
                continue;
            }
            State to = replay.state.state();
            String next = to == from ? "the same" : lowerCase(to);
            row.computeIfAbsent(event, e -> new TreeSet<>())
                    .add(action == ClientAction.NONE ? next : next + ": **" + lowerCase(action) + "**");
            if (history.size() < MAX_HISTORY) {
                List<Event> longer = new ArrayList<>(history);
                longer.add(event);
                explore(idempotent, longer, cells);
            }
        }
    }

    private static String lowerCase(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Only requests that have not run are rejected, and only idempotent ones are resent once they may have run. */
    @Test
    void noHistoryRejectsOrResendsWhatMayHaveRun() {
        for (boolean idempotent : new boolean[] {false, true}) {
            Map<State, Map<Event, Set<String>>> cells = new EnumMap<>(State.class);
            explore(idempotent, new ArrayList<>(), cells);
            assertThat(cells.keySet().stream()
                            .filter(s -> cells.get(s).values().stream()
                                    .anyMatch(c -> c.stream().anyMatch(t -> t.contains("reject"))))
                            .collect(Collectors.toSet()))
                    .containsExactly(State.PENDING);
            assertThat(cells.keySet().stream()
                            .filter(s -> cells.get(s).containsKey(Event.SENT))
                            .toList())
                    .containsExactlyElementsOf(
                            idempotent
                                    ? List.of(
                                            State.PENDING,
                                            State.IN_FLIGHT,
                                            State.IN_DOUBT,
                                            State.IN_FLIGHT_IN_DOUBT,
                                            State.FAILURE_SAVED,
                                            State.IN_FLIGHT_FAILURE_SAVED)
                                    : List.of(State.PENDING));
        }
    }
}
