package org.cypressweir.sidecar.operatorconfig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;
import org.cypressweir.sidecar.cell.Cell;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;
import org.cypressweir.sidecar.cell.CellsConfiguration.Spread;
import org.cypressweir.sidecar.cell.CellsConfiguration.Unit;
import org.cypressweir.sidecar.cell.MoveConfiguration;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.CellsSection;

/** Reads {@code [pools.NAME.cells]} and checks keys, types, ranges, and names of cells and units. */
final class CellsReader {

    private static final int MIN_CELLS = 2;
    private static final int MAX_CELLS = 64;
    private static final Set<String> SPREADS = Set.of("server", "group");
    private static final Set<String> UNITS = Set.of("tenant", "key", "header:NAME");
    private static final String HEADER_PREFIX = "header:";

    private final Facts facts;
    private final Section section;
    private final Map<String, Integer> lines = new HashMap<>();

    CellsReader(Facts facts, Section section) {
        this.facts = facts;
        this.section = section;
    }

    /** Reads the section; null if it is too incomplete to check further, which has been reported. */
    CellsSection read() {
        lines.put("cells", section.line());
        List<String> names = readNames();
        String by = section.required("by");
        Unit unit = readUnit(by);
        String spread = section.text("spread");
        if (spread != null && !SPREADS.contains(spread)) {
            section.problem(
                    "spread",
                    "no spread '" + spread + "'; there are server and group"
                            + SpellingHint.didYouMean(spread, SPREADS));
        }
        List<Cell> cells = readCells(names);
        Map<Long, Integer> assigned = readAssignments(names, unit);
        long keepMicros = section.time("keep_places", 0, 3_600_000_000L, 60_000_000);
        Double guests = section.number("guests", 0, 0.5);
        boolean guestWrites = Boolean.TRUE.equals(section.flag("guest_writes"));
        if (guestWrites && (guests == null || guests == 0)) {
            section.problem("guest_writes", "'guest_writes' without 'guests' has no effect");
        }
        Quarantine quarantine = readQuarantine(names, cells);
        List<MoveConfiguration> moves = new ArrayList<>();
        for (Section move : section.tables("moves")) {
            readMove(move, names, unit, moves);
        }
        section.rejectUnknownKeys();
        if (cells.size() < MIN_CELLS || unit == null || cells.stream().allMatch(Cell::reserved)) {
            return null;
        }
        String header =
                unit == Unit.HEADER ? by.substring(HEADER_PREFIX.length()).toLowerCase(Locale.ROOT) : null;
        return new CellsSection(
                new CellsConfiguration(
                        unit,
                        header,
                        cells,
                        "group".equals(spread) ? Spread.GROUP : Spread.SERVER,
                        keepMicros,
                        assigned,
                        moves,
                        0,
                        0,
                        guests == null ? 0 : guests,
                        guestWrites,
                        quarantine),
                lines);
    }

    private List<String> readNames() {
        List<String> names = section.texts("names");
        if (names == null) {
            if (!section.has("names")) {
                section.problems().add(section.line(), "[" + section.title() + "] lacks 'names'");
            }
            return List.of();
        }
        lines.put("names", section.lineOf("names"));
        if (names.size() < MIN_CELLS || names.size() > MAX_CELLS) {
            section.problem(
                    "names", "'names' has " + names.size() + " cells; it must have " + MIN_CELLS + " to " + MAX_CELLS);
        }
        Set<String> seen = new LinkedHashSet<>();
        for (String name : names) {
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                section.problem(
                        "names", "'" + name + "' is no name of a cell; use letters, digits, '.', '_'" + " and '-'");
            }
            if (!seen.add(name)) {
                section.problem("names", "there are two cells '" + name + "'");
            }
        }
        return List.copyOf(seen);
    }

    private Unit readUnit(String by) {
        if (by == null) {
            return null;
        }
        if (by.startsWith(HEADER_PREFIX)) {
            String name = by.substring(HEADER_PREFIX.length());
            if (name.matches(OperatorsReader.TOKEN)) {
                return Unit.HEADER;
            }
            section.problem("by", "there is no header '" + name + "'; a name is one word (RFC 9110, section" + " 5.1)");
            return null;
        }
        if (by.equals("tenant") || by.equals("key")) {
            return Unit.valueOf(by.toUpperCase(Locale.ROOT));
        }
        section.problem(
                "by",
                "no unit '" + by + "'; there are tenant, key and header:NAME" + SpellingHint.didYouMean(by, UNITS));
        return null;
    }

    private List<Cell> readCells(List<String> names) {
        Map<String, Double> shares = new HashMap<>();
        Section subsection = section.table("shares");
        if (subsection != null) {
            for (String name : subsection.keys()) {
                cellIndex(subsection, name, name, names);
                Double share = subsection.number(name, 0.01, 100);
                shares.put(name, share == null ? 1 : share);
            }
        }
        List<String> reserved = section.texts("reserved");
        for (String name : reserved == null ? List.<String>of() : reserved) {
            cellIndex(section, "reserved", name, names);
        }
        List<Cell> cells = new ArrayList<>();
        names.forEach(
                n -> cells.add(new Cell(n, shares.getOrDefault(n, 1.0), reserved != null && reserved.contains(n))));
        if (!cells.isEmpty() && cells.stream().allMatch(Cell::reserved)) {
            section.problem("reserved", "all cells are reserved, so no unit would have a home");
        }
        return cells;
    }

    /** Returns the index of a named cell; an unknown name is reported and gives -1. */
    private static int cellIndex(Section target, String key, String name, List<String> names) {
        if (name != null && !names.contains(name)) {
            target.problem(key, "there is no cell '" + name + "'" + SpellingHint.didYouMean(name, names));
        }
        return names.indexOf(name);
    }

    private void requireKnownTenant(Section target, String key, String unit, Unit unitKind) {
        List<String> tenants =
                facts.settings().tenants().stream().map(Tenant::name).toList();
        if (unitKind == Unit.TENANT && !tenants.isEmpty() && unit != null && !tenants.contains(unit)) {
            target.problem(key, "the settings have no tenant '" + unit + "'" + SpellingHint.didYouMean(unit, tenants));
        }
    }

    private Map<Long, Integer> readAssignments(List<String> names, Unit unitKind) {
        Map<Long, Integer> assigned = new LinkedHashMap<>();
        Section subsection = section.table("assign");
        if (subsection == null) {
            return assigned;
        }
        for (String unit : subsection.keys()) {
            int cell = cellIndex(subsection, unit, subsection.text(unit), names);
            requireKnownTenant(subsection, unit, unit, unitKind);
            if (cell >= 0) {
                assigned.put(Ids.of(unit), cell);
            }
        }
        return assigned;
    }

    private Quarantine readQuarantine(List<String> names, List<Cell> cells) {
        String name = section.text("quarantine");
        Double share = section.number("quarantine_share", 0.05, 1);
        Long time = section.time("quarantine_time", 1_000_000, 3_600_000_000L);
        if (name == null) {
            for (String key : List.of("quarantine_share", "quarantine_time")) {
                if (section.has(key)) {
                    section.problem(key, "'" + key + "' without 'quarantine' has no effect");
                }
            }
            return null;
        }
        lines.put("quarantine", section.lineOf("quarantine"));
        int cell = cellIndex(section, "quarantine", name, names);
        if (cell < 0) {
            return null;
        }
        if (!cells.get(cell).reserved()) {
            section.problem("quarantine", "cell '" + name + "' is home to other units; put it into 'reserved'");
        }
        return new Quarantine(cell, share == null ? 0.3 : share, time == null ? 60_000_000 : time);
    }

    private void readMove(Section move, List<String> names, Unit unitKind, List<MoveConfiguration> moves) {
        String name = move.title().substring(move.title().lastIndexOf('.') + 1);
        String unit = move.required("unit");
        requireKnownTenant(move, "unit", unit, unitKind);
        int to = cellIndex(move, "to", move.required("to"), names);
        Long start = move.timestamp("start");
        if (!move.has("start")) {
            section.problems().add(move.line(), "[" + move.title() + "] lacks 'start'");
        }
        long over = move.time("over", 0, 86_400_000_000L, 0);
        long fence = move.time("fence", 0, 60_000_000, 0);
        long freeze = move.time("freeze", 0, 3_600_000_000L, 0);
        if (fence > 0 && freeze > 0) {
            move.problem("freeze", "'freeze' and 'fence' are two ways to do the same; set one");
        }
        move.rejectUnknownKeys();
        lines.put("freeze." + name, move.has("freeze") ? move.lineOf("freeze") : move.line());
        lines.put("fence." + name, move.has("fence") ? move.lineOf("fence") : move.line());
        lines.put("to." + name, move.has("to") ? move.lineOf("to") : move.line());
        if (unit == null || to < 0 || start == null) {
            return;
        }
        for (MoveConfiguration other : moves) {
            if (other.unit() == Ids.of(unit)) {
                move.problem("unit", "'" + unit + "' is moved by '" + other.name() + "' already");
            }
        }
        moves.add(new MoveConfiguration(name, Ids.of(unit), unit, to, start, over, fence, freeze));
    }
}
