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
import org.junit.jupiter.api.Test;

/** The page's table of the account is what the code does; -Dquay.table=write puts it there anew. */
class RequestStateTableTest {

    private static final Path PAGE = Path.of("docs/design/upstream.md");
    private static final String BEGIN = "<!-- account: begin -->\n";
    private static final String END = "<!-- account: end -->\n";
    private static final int DEPTH = 6;

    private enum Event {
        SENT,
        NOT_RUN,
        MAY_HAVE_RUN,
        ANSWERED,
        PROMISED,
        FAILED,
        LAST,
        DEADLINE,
        CLIENT_LEFT
    }

    private static final Map<Event, String> TITLES = new EnumMap<>(Map.of(
            Event.SENT,
            "an attempt goes",
            Event.NOT_RUN,
            "one has not run",
            Event.MAY_HAVE_RUN,
            "one may have run",
            Event.ANSWERED,
            "answered, below 500",
            Event.PROMISED,
            "answered 408, 421, 429, 503",
            Event.FAILED,
            "answered, 500 and above",
            Event.LAST,
            "no further attempt, none waited for",
            Event.DEADLINE,
            "its deadline",
            Event.CLIENT_LEFT,
            "the client leaves"));

    /** An account with what has happened to it. */
    private static final class Run {
        private final RequestState account;
        private int size;

        private Run(boolean repeatable, List<Event> events) {
            account = new RequestState(repeatable);
            events.forEach(this::apply);
        }

        /** What is due, null where it can't happen. */
        private RequestState.Due apply(Event event) {
            return switch (event) {
                case SENT -> {
                    int attempt = account.begin();
                    size++;
                    if (!account.goes(attempt)) {
                        account.ended(attempt, new RequestOutcome.NotRun(RejectionReason.GONE, 0));
                        yield null;
                    }
                    yield RequestState.Due.NOTHING;
                }
                case NOT_RUN -> end(new RequestOutcome.NotRun(RejectionReason.FULL, 0));
                case MAY_HAVE_RUN -> end(new RequestOutcome.MayHaveRun(""));
                case ANSWERED -> end(new RequestOutcome.Answered(200, List.of(), null));
                case PROMISED -> end(new RequestOutcome.Answered(429, List.of(), null));
                case FAILED -> end(new RequestOutcome.Answered(500, List.of(), null));
                case LAST, DEADLINE -> given(account.last(event == Event.DEADLINE));
                case CLIENT_LEFT -> {
                    account.leave();
                    yield RequestState.Due.NOTHING;
                }
            };
        }

        private RequestState.Due end(RequestOutcome outcome) {
            for (int i = 0; i < size; i++) {
                if (account.isOpen(i)) {
                    return given(account.ended(i, outcome));
                }
            }
            return null;
        }

        private RequestState.Due given(RequestState.Due due) {
            if (due != RequestState.Due.NOTHING && due != RequestState.Due.KEEP) {
                account.answer();
            }
            return due;
        }
    }

    @Test
    void thePageSaysWhatTheCodeDoes() throws IOException {
        String page = Files.readString(PAGE);
        int begin = page.indexOf(BEGIN) + BEGIN.length();
        int end = page.indexOf(END);
        String table = table(false) + "\n" + table(true);
        if ("write".equals(System.getProperty("quay.table"))) {
            Files.writeString(PAGE, page.substring(0, begin) + table + page.substring(end));
        } else {
            assertThat(page.substring(begin, end)).isEqualTo(table);
        }
    }

    private static String table(boolean repeatable) {
        Map<RequestState.State, Map<Event, Set<String>>> cells = new EnumMap<>(RequestState.State.class);
        explore(repeatable, new ArrayList<>(), cells);
        StringBuilder table = new StringBuilder(repeatable ? "May be repeated:\n\n" : "Can't be repeated:\n\n");
        table.append("| state |");
        for (Event event : Event.values()) {
            table.append(' ').append(TITLES.get(event)).append(" |");
        }
        table.append("\n|").append(" --- |".repeat(1 + Event.values().length)).append('\n');
        cells.forEach((state, row) -> {
            table.append("| ").append(small(state)).append(" |");
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

    private static void explore(
            boolean repeatable, List<Event> history, Map<RequestState.State, Map<Event, Set<String>>> cells) {
        RequestState.State from = new Run(repeatable, history).account.state();
        Map<Event, Set<String>> row = cells.computeIfAbsent(from, s -> new EnumMap<>(Event.class));
        for (Event event : Event.values()) {
            Run run = new Run(repeatable, history);
            RequestState.Due due = run.apply(event);
            if (due == null) {
                continue;
            }
            RequestState.State to = run.account.state();
            String next = to == from ? "the same" : small(to);
            row.computeIfAbsent(event, e -> new TreeSet<>())
                    .add(due == RequestState.Due.NOTHING ? next : next + ": **" + small(due) + "**");
            if (history.size() < DEPTH) {
                List<Event> longer = new ArrayList<>(history);
                longer.add(event);
                explore(repeatable, longer, cells);
            }
        }
    }

    private static String small(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Whatever happens: promises only of what has not run, no second run of what can't be repeated. */
    @Test
    void noHistoryBreaksAPromise() {
        for (boolean repeatable : new boolean[] {false, true}) {
            Map<RequestState.State, Map<Event, Set<String>>> cells = new EnumMap<>(RequestState.State.class);
            explore(repeatable, new ArrayList<>(), cells);
            assertThat(cells.keySet().stream()
                            .filter(s -> cells.get(s).values().stream()
                                    .anyMatch(c -> c.stream().anyMatch(t -> t.contains("refusal"))))
                            .collect(Collectors.toSet()))
                    .containsExactly(RequestState.State.HELD);
            assertThat(cells.keySet().stream()
                            .filter(s -> cells.get(s).containsKey(Event.SENT))
                            .toList())
                    .containsExactlyElementsOf(
                            repeatable
                                    ? List.of(
                                            RequestState.State.HELD,
                                            RequestState.State.OUT,
                                            RequestState.State.IN_DOUBT,
                                            RequestState.State.OUT_IN_DOUBT,
                                            RequestState.State.KEPT,
                                            RequestState.State.OUT_KEPT)
                                    : List.of(RequestState.State.HELD));
        }
    }
}
