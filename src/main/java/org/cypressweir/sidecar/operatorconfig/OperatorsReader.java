package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.CellsSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.ClassSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.FleetSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.ListenerSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.MembershipSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PluginSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PoolSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.RouteSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.TunnelSet;
import org.cypressweir.sidecar.route.HeaderTest;
import org.cypressweir.sidecar.route.HostPattern;
import org.cypressweir.sidecar.route.Match;
import org.cypressweir.sidecar.route.PathPattern;
import org.cypressweir.sidecar.route.Resume;
import org.cypressweir.sidecar.route.StaticServer;
import org.cypressweir.sidecar.route.TunnelBounds;
import org.cypressweir.sidecar.route.TunnelCloseNotice;
import org.cypressweir.sidecar.route.WebSocketLimits;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads the form of a file: TOML 1.0, known keys, types and ranges. What it means is for {@link Checks}. */
final class OperatorsReader {

    static final long VERSION = 1;

    private static final long MOST_PRIORITY = 1_000;
    private static final long MOST_BYTES = 1L << 40;
    private static final long MOST_TUNNELS = 1_000_000;
    /** As many instances as live, by [membership]. */
    private static final String MEMBERS = "members";

    private static final long MOST_INSTANCES = 1_000_000;
    /** What fits into a close frame beside its code (RFC 6455, section 5.5). */
    private static final int MOST_REASON = 123;
    /** What the sidecar sets itself. */
    private static final String OWN_HEADERS = "host|connection|upgrade|content-length|transfer-encoding"
            + "|request-id|tenant|request-timeout-ms|idempotency-key";

    private static final Set<String> SOURCES = Set.of("discovery", "static");
    private static final Set<String> METHODS = Set.of("GET", "POST");
    static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    private final Facts facts;
    private final Path folder;
    private final Problems problems;

    /** @param folder that the file lies in, from which it names others; null for where the program runs */
    OperatorsReader(Facts facts, Path folder, Problems problems) {
        this.folder = folder;
        this.facts = facts;
        this.problems = problems;
    }

    /** Null where the text is no TOML. */
    OperatorsFile read(String text) {
        if (!Shape.fits(text, problems)) {
            return null;
        }
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            toml.errors()
                    .forEach(e -> problems.add(
                            e.position().line(), "not TOML: " + e.getMessage().replaceAll("\\s+", " ")));
            return null;
        }
        Section top = new Section(toml, "", 1, problems);
        Long version = top.count("version", 1, Integer.MAX_VALUE);
        if (!top.has("version")) {
            problems.add(1, "the file lacks 'version = " + VERSION + "'");
        } else if (version != null && version != VERSION) {
            top.problem("version", "version " + version + " is not known; this program reads version " + VERSION);
        }
        List<ListenerSection> listeners = new ArrayList<>();
        top.tables("listeners").forEach(s -> listeners.add(listener(s)));
        Map<String, PoolSection> pools = new LinkedHashMap<>();
        top.tables("pools").forEach(s -> pools.put(name(s), pool(s)));
        Map<String, ClassSection> classes = new LinkedHashMap<>();
        top.tables("classes").forEach(s -> classes.put(name(s), requestClass(s)));
        List<RouteSection> routes = new ArrayList<>();
        top.tables("routes").forEach(s -> routes.add(route(s)));
        List<PluginSection> plugins = new ArrayList<>();
        for (Section s : top.tables("plugins")) {
            PluginSection plugin = new PluginsReader(facts, folder).read(s);
            if (plugin != null) {
                plugins.add(plugin);
            }
        }
        Section fleet = top.table("fleet");
        FleetSection shared = fleet == null ? null : fleet(fleet);
        Section membership = top.table("membership");
        MembershipSection others = membership == null ? null : new MembershipReader(membership).read();
        LeaseOptions leases = new LeasesReader(top.table("keepers"), top.tables("leases"), problems).read(others);
        top.rejectUnknown();
        return new OperatorsFile(listeners, pools, classes, routes, plugins, shared, others, leases);
    }

    private FleetSection fleet(Section section) {
        boolean living = section.says("instances", MEMBERS);
        Long most = section.count("most", 1, MOST_INSTANCES);
        if (living && !section.has("most")) {
            section.problem(
                    "instances",
                    "'instances' is '" + MEMBERS + "': 'most' has to say how many" + " processes may ever run at once");
        } else if (!living && section.has("most")) {
            section.problem("most", "'most' has no effect: 'instances' is not '" + MEMBERS + "'");
        }
        int instances;
        if (living) {
            section.text("instances");
            instances = most == null ? 1 : most.intValue();
        } else {
            instances = (int) section.count(
                    "instances", 1, MOST_INSTANCES, Math.max(1, facts.settings().replicas()));
        }
        Double listRate = section.number("list_rate", 0.01, 1_000_000);
        Long idle = section.count("idle_per_server", 0, 1_000_000);
        Double probeRate = section.number("probe_rate", 0.001, 1_000_000);
        Map<String, Integer> lines = new HashMap<>();
        for (String key : List.of("instances", "list_rate", "idle_per_server", "probe_rate")) {
            lines.put(key, section.has(key) ? section.lineOf(key) : section.line());
        }
        section.rejectUnknown();
        return new FleetSection(
                section.line(),
                instances,
                living,
                listRate == null ? 0 : listRate,
                idle,
                probeRate == null ? 0 : probeRate,
                lines);
    }

    private static String name(Section section) {
        return section.title().substring(section.title().indexOf('.') + 1);
    }

    private ListenerSection listener(Section section) {
        InetSocketAddress address = address(section, "address");
        section.rejectUnknown();
        return new ListenerSection(name(section), section.line(), address);
    }

    static InetSocketAddress address(Section section, String key) {
        String text = section.required(key);
        if (text == null) {
            return null;
        }
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            section.problem(key, e.getMessage() + "; names are not looked up");
            return null;
        }
    }

    private PoolSection pool(Section section) {
        String source = section.required("source");
        if (source != null && !SOURCES.contains(source)) {
            section.problem(
                    "source",
                    "no source '" + source + "'; there are discovery and static" + Wording.hint(source, SOURCES));
        }
        boolean listed = "static".equals(source);
        List<StaticServer> servers = null;
        if (listed) {
            servers = servers(section);
        } else if (section.has("servers") && source != null) {
            section.problem("servers", "a pool with source '" + source + "' names no servers");
        }
        LimitSet limits = section.limits(LimitKey.OF_POOLS);
        if (section.has(LimitKey.HEDGE_AFTER.key)) {
            section.problem(
                    LimitKey.HEDGE_AFTER.key,
                    "'hedge_after' is set for classes and routes; a pool" + " only bounds 'hedges'");
        }
        TunnelSet tunnels = new TunnelSet(
                section.count("max_tunnels", 1, MOST_TUNNELS),
                section.count("max_tunnels_per_server", 1, MOST_TUNNELS),
                section.count("upgrade_rate", 1, 100_000, 500));
        Section cells = section.table("cells");
        CellsSection parted = cells == null ? null : new CellsReader(facts, cells).read();
        section.rejectUnknown();
        return new PoolSection(name(section), section.line(), servers, limits, tunnels, parted);
    }

    private List<StaticServer> servers(Section pool) {
        List<StaticServer> servers = new ArrayList<>();
        Map<String, Integer> ids = new HashMap<>();
        Map<InetSocketAddress, Integer> endpoints = new HashMap<>();
        List<Section> entries = pool.list("servers");
        if (entries.isEmpty()) {
            problems.add(pool.line(), "[" + pool.title() + "] has source 'static' and no 'servers'");
        }
        for (Section entry : entries) {
            String id = entry.required("id");
            InetSocketAddress endpoint = address(entry, "endpoint");
            if (endpoint != null && endpoint.getPort() == 0) {
                entry.problem("endpoint", "port 0 is no server's port");
            }
            String zone = known(entry, "zone", facts.zones());
            String model = known(entry, "model", facts.models());
            Long cell = entry.count("cell", 0, 1_000_000);
            Double weight = entry.number("weight", 0.01, 100);
            entry.rejectUnknown();
            duplicate(entry, "id", id, ids);
            duplicate(entry, "endpoint", endpoint, endpoints);
            if (id != null && endpoint != null) {
                servers.add(new StaticServer(
                        id, endpoint, zone, model, cell == null ? 0 : cell.intValue(), weight == null ? 1 : weight));
            }
        }
        return servers;
    }

    private <T> void duplicate(Section entry, String key, T value, Map<T, Integer> seen) {
        Integer before = value == null ? null : seen.putIfAbsent(value, entry.lineOf(key));
        if (before != null) {
            entry.problem(key, "this " + key + " is another server's already (line " + before + ")");
        }
    }

    private static String known(Section entry, String key, List<String> names) {
        String name = entry.text(key);
        if (name != null && !names.contains(name)) {
            entry.problem(key, "the settings have no " + key + " '" + name + "'" + Wording.hint(name, names));
        }
        return name;
    }

    private ClassSection requestClass(Section section) {
        LimitSet limits = section.limits(LimitKey.OF_ROUTES);
        rejectConnections(section);
        Long givesUp = section.time("client_gives_up", 1_000, 3_600_000_000L);
        Setting<Long> patience = givesUp == null ? null : section.setting("client_gives_up", givesUp);
        section.rejectUnknown();
        return new ClassSection(name(section), section.line(), limits, patience);
    }

    private static void rejectConnections(Section section) {
        if (section.has(LimitKey.MAX_CONNECTIONS.key)) {
            section.problem(
                    LimitKey.MAX_CONNECTIONS.key,
                    "connections belong to a pool: set 'max_connections' in [pools.NAME]");
        }
    }

    private RouteSection route(Section section) {
        Match match = match(section);
        String requestClass = section.required("class");
        String pool = section.required("pool");
        LimitSet limits = section.limits(LimitKey.OF_ROUTES);
        rejectConnections(section);
        WebSocketLimits webSocket = webSocket(section, match);
        section.rejectUnknown();
        return new RouteSection(
                name(section),
                section.line(),
                match,
                requestClass == null ? null : section.setting("class", requestClass),
                pool == null ? null : section.setting("pool", pool),
                limits,
                webSocket,
                webSocket == null ? 0 : section.table("websocket").lineOf("resume_first_message"));
    }

    private static WebSocketLimits webSocket(Section route, Match match) {
        Section section = route.table("websocket");
        if (section == null) {
            return null;
        }
        if (match != null && !match.methods().isEmpty() && !match.methods().contains("GET")) {
            section.problems()
                    .add(
                            section.line(),
                            "an upgrade is asked for with GET, which this route's" + " 'methods' does not have");
        }
        long message = section.count("max_message", 125, MOST_BYTES, 16 << 20);
        long frame = section.count("max_frame", 125, MOST_BYTES, message);
        if (frame > message) {
            section.problem("max_frame", "'max_frame' is " + frame + ", more than 'max_message' (" + message + ")");
        }
        long idle = section.time("idle_timeout", 1_000_000, 86_400_000_000L, 0);
        long ping = section.time("ping_interval", 100_000, 3_600_000_000L, 30_000_000);
        long pong = section.time("ping_timeout", 100_000, 3_600_000_000L, Math.min(ping, 10_000_000));
        if (pong > ping) {
            section.problem(
                    "ping_timeout",
                    "'ping_timeout' is " + DurationText.text(pong) + ", longer than 'ping_interval' ("
                            + DurationText.text(ping) + ")");
        }
        long life = section.time("max_life", 1_000_000, 604_800_000_000L, 0);
        long drain = section.time("drain_time", 100_000, 600_000_000L, 10_000_000);
        long reconnects = section.count("reconnect_rate", 1, 100_000, 50);
        Resume resume = resume(section);
        TunnelCloseNotice closeNotice = closeNotice(section);
        TunnelBounds bounds = new TunnelBounds(
                name(route),
                (int) section.count("max_tunnels", 1, MOST_TUNNELS, Integer.MAX_VALUE),
                (int) section.count("max_tunnels_per_tenant", 1, MOST_TUNNELS, Integer.MAX_VALUE),
                section.time("evict_after", 100_000, 86_400_000_000L, 0));
        section.rejectUnknown();
        return new WebSocketLimits(
                frame, message, idle, ping, pong, life, drain, reconnects, closeNotice, bounds, resume);
    }

    private static TunnelCloseNotice closeNotice(Section section) {
        int code = (int) section.count("drain_code", 1001, 4999, 1001);
        if (code > 1001 && code < 4000 && code != 1012 && code != 1013) {
            section.problem("drain_code", "'drain_code' is " + code + "; it must be 1001, 1012, 1013 or 4000 to 4999");
        }
        String reason = section.text("drain_reason");
        if (reason != null && reason.getBytes(StandardCharsets.UTF_8).length > MOST_REASON) {
            section.problem("drain_reason", "'drain_reason' is longer than " + MOST_REASON + " bytes");
        }
        return new TunnelCloseNotice(code, reason == null ? "going away" : reason);
    }

    private static Resume resume(Section section) {
        List<String> protocols = section.texts("resumable");
        String header = section.text("resume_header");
        boolean first = Boolean.TRUE.equals(section.flag("resume_first_message"));
        if (protocols == null || protocols.isEmpty()) {
            if (header != null || first) {
                section.problem(
                        header != null ? "resume_header" : "resume_first_message",
                        "says how to resume, but 'resumable' names no subprotocol");
            }
            return null;
        }
        for (String protocol : protocols) {
            if (!protocol.matches(TOKEN)) {
                section.problem("resumable", "'" + protocol + "' can't be a subprotocol");
            }
        }
        if (header == null && !first) {
            section.problem("resumable", "how to resume is not said: 'resume_header' or" + " 'resume_first_message'");
        }
        if (header == null) {
            return new Resume(Set.copyOf(protocols), null, null, first);
        }
        int colon = header.indexOf(':');
        String name = colon < 0 ? "" : header.substring(0, colon).trim();
        String value = header.substring(colon + 1).trim();
        if (!name.matches(TOKEN) || !value.matches("[\\x20-\\x7e]*")) {
            section.problem("resume_header", "'" + header + "' is no header such as 'Resume: yes'");
        } else if (name.matches("(?i)sec-websocket-.*|" + OWN_HEADERS)) {
            section.problem("resume_header", "'" + name + "' belongs to the handshake or to the protocol");
        }
        return new Resume(Set.copyOf(protocols), name, value, first);
    }

    private Match match(Section section) {
        HostPattern host = HostPattern.ANY;
        PathPattern path = null;
        try {
            String text = section.text("host");
            host = text == null ? host : HostPattern.parse(text);
        } catch (IllegalArgumentException e) {
            section.problem("host", e.getMessage());
        }
        try {
            String text = section.required("path");
            path = text == null ? null : PathPattern.parse(text);
        } catch (IllegalArgumentException e) {
            section.problem("path", e.getMessage());
        }
        Set<String> methods = methods(section);
        Section headers = section.table("headers");
        List<HeaderTest> tests = headers == null ? List.of() : headers(headers);
        Long priority = section.count("priority", -MOST_PRIORITY, MOST_PRIORITY);
        return path == null ? null : new Match(host, path, methods, tests, priority == null ? 0 : priority.intValue());
    }

    private static Set<String> methods(Section section) {
        Set<String> methods = new TreeSet<>();
        List<String> names = section.texts("methods");
        if (names != null && names.isEmpty()) {
            section.problem("methods", "'methods' is empty, so nothing matches; leave it out for any");
        }
        for (String name : names == null ? List.<String>of() : names) {
            if (!METHODS.contains(name)) {
                section.problem(
                        "methods",
                        "no client sends method '" + name + "'; there are GET and POST" + Wording.hint(name, METHODS));
            }
            methods.add(name);
        }
        return methods;
    }

    private static List<HeaderTest> headers(Section headers) {
        List<HeaderTest> tests = new ArrayList<>();
        Map<String, String> seen = new HashMap<>();
        for (String name : headers.keys()) {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!name.matches(TOKEN)) {
                headers.problem(name, "there is no header '" + name + "'; a name is one word (RFC 9110, section 5.1)");
            } else if (lower.equals("host")) {
                headers.problem(name, "the host is matched with 'host', not as a header");
            }
            String before = seen.put(lower, name);
            if (before != null) {
                headers.problem(name, "header '" + name + "' is tested twice");
            }
            tests.add(test(headers, name, lower));
        }
        headers.rejectUnknown();
        return List.copyOf(tests);
    }

    /** {@code Name = "value"}, {@code Name = true} for present, {@code Name = false} for absent. */
    private static HeaderTest test(Section headers, String name, String lower) {
        Boolean present = headers.isFlag(name) ? headers.flag(name) : null;
        if (present != null) {
            return new HeaderTest(lower, present ? HeaderTest.Kind.PRESENT : HeaderTest.Kind.ABSENT, null);
        }
        String value = headers.text(name);
        if (value != null && (!value.equals(value.trim()) || value.chars().anyMatch(c -> c < ' '))) {
            headers.problem(
                    name, "no header has a value that begins or ends with a space or has a control" + " character");
        }
        return new HeaderTest(lower, HeaderTest.Kind.EQUAL, value == null ? "" : value);
    }
}
