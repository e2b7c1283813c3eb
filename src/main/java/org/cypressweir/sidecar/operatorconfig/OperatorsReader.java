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
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.TunnelLimits;
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

/** Parses a TOML 1.0 file and checks keys, types and ranges; {@link Checks} does the semantic checks. */
final class OperatorsReader {

    static final long VERSION = 1;

    private static final long MAX_PRIORITY = 1_000;
    private static final long MAX_MESSAGE_BYTES = 1L << 40;
    private static final long MAX_TUNNELS = 1_000_000;
    /** Value of {@code instances} that takes the number of live members from [membership]. */
    private static final String INSTANCES_FROM_MEMBERSHIP = "members";

    private static final long MAX_INSTANCES = 1_000_000;
    /** A close frame has 125 bytes, of which the status code takes 2 (RFC 6455, section 5.5). */
    private static final int MAX_CLOSE_REASON_BYTES = 123;
    /** Headers that the sidecar sets itself. */
    private static final String RESERVED_HEADERS = "host|connection|upgrade|content-length|transfer-encoding"
            + "|request-id|tenant|request-timeout-ms|idempotency-key";

    private static final Set<String> SOURCES = Set.of("discovery", "static");
    private static final Set<String> METHODS = Set.of("GET", "POST");
    static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    private final Facts facts;
    private final Path folder;
    private final Problems problems;

    /** @param folder the file's directory, to which relative file names refer; null for the working directory */
    OperatorsReader(Facts facts, Path folder, Problems problems) {
        this.folder = folder;
        this.facts = facts;
        this.problems = problems;
    }

    /** Reads the file; null if the text is not valid TOML. */
    OperatorsFile read(String text) {
        if (!TextLimits.fits(text, problems)) {
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
        top.tables("listeners").forEach(s -> listeners.add(readListener(s)));
        Map<String, PoolSection> pools = new LinkedHashMap<>();
        top.tables("pools").forEach(s -> pools.put(sectionName(s), readPool(s)));
        Map<String, ClassSection> classes = new LinkedHashMap<>();
        top.tables("classes").forEach(s -> classes.put(sectionName(s), readRequestClass(s)));
        List<RouteSection> routes = new ArrayList<>();
        top.tables("routes").forEach(s -> routes.add(readRoute(s)));
        List<PluginSection> plugins = new ArrayList<>();
        for (Section s : top.tables("plugins")) {
            PluginSection plugin = new PluginsReader(facts, folder).read(s);
            if (plugin != null) {
                plugins.add(plugin);
            }
        }
        Section fleet = top.table("fleet");
        FleetSection fleetSection = fleet == null ? null : readFleet(fleet);
        Section membership = top.table("membership");
        MembershipSection membershipSection = membership == null ? null : new MembershipReader(membership).read();
        LeaseOptions leases =
                new LeasesReader(top.table("keepers"), top.tables("leases"), problems).read(membershipSection);
        top.rejectUnknownKeys();
        return new OperatorsFile(listeners, pools, classes, routes, plugins, fleetSection, membershipSection, leases);
    }

    private FleetSection readFleet(Section section) {
        boolean fromMembership = section.hasText("instances", INSTANCES_FROM_MEMBERSHIP);
        Long maxInstances = section.count("most", 1, MAX_INSTANCES);
        if (fromMembership && !section.has("most")) {
            section.problem(
                    "instances",
                    "'instances' is '" + INSTANCES_FROM_MEMBERSHIP + "': 'most' has to say how many"
                            + " processes may ever run at once");
        } else if (!fromMembership && section.has("most")) {
            section.problem("most", "'most' has no effect: 'instances' is not '" + INSTANCES_FROM_MEMBERSHIP + "'");
        }
        int instances;
        if (fromMembership) {
            section.text("instances");
            instances = maxInstances == null ? 1 : maxInstances.intValue();
        } else {
            instances = (int) section.count(
                    "instances", 1, MAX_INSTANCES, Math.max(1, facts.settings().replicas()));
        }
        Double listRate = section.number("list_rate", 0.01, 1_000_000);
        Long idle = section.count("idle_per_server", 0, 1_000_000);
        Double probeRate = section.number("probe_rate", 0.001, 1_000_000);
        Map<String, Integer> lines = new HashMap<>();
        for (String key : List.of("instances", "list_rate", "idle_per_server", "probe_rate")) {
            lines.put(key, section.has(key) ? section.lineOf(key) : section.line());
        }
        section.rejectUnknownKeys();
        return new FleetSection(
                section.line(),
                instances,
                fromMembership,
                listRate == null ? 0 : listRate,
                idle,
                probeRate == null ? 0 : probeRate,
                lines);
    }

    private static String sectionName(Section section) {
        return section.title().substring(section.title().indexOf('.') + 1);
    }

    private ListenerSection readListener(Section section) {
        InetSocketAddress address = readAddress(section, "address");
        section.rejectUnknownKeys();
        return new ListenerSection(sectionName(section), section.line(), address);
    }

    static InetSocketAddress readAddress(Section section, String key) {
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

    private PoolSection readPool(Section section) {
        String source = section.required("source");
        if (source != null && !SOURCES.contains(source)) {
            section.problem(
                    "source",
                    "no source '" + source + "'; there are discovery and static"
                            + SpellingHint.didYouMean(source, SOURCES));
        }
        boolean isStatic = "static".equals(source);
        List<StaticServer> servers = null;
        if (isStatic) {
            servers = readServers(section);
        } else if (section.has("servers") && source != null) {
            section.problem("servers", "a pool with source '" + source + "' names no servers");
        }
        LimitSet limits = section.limits(LimitKey.POOL_KEYS);
        if (section.has(LimitKey.HEDGE_AFTER.key)) {
            section.problem(
                    LimitKey.HEDGE_AFTER.key,
                    "'hedge_after' is set for classes and routes; a pool" + " only bounds 'hedges'");
        }
        TunnelLimits tunnels = new TunnelLimits(
                section.count("max_tunnels", 1, MAX_TUNNELS),
                section.count("max_tunnels_per_server", 1, MAX_TUNNELS),
                section.count("upgrade_rate", 1, 100_000, 500));
        Section cells = section.table("cells");
        CellsSection cellsSection = cells == null ? null : new CellsReader(facts, cells).read();
        section.rejectUnknownKeys();
        return new PoolSection(sectionName(section), section.line(), servers, limits, tunnels, cellsSection);
    }

    private List<StaticServer> readServers(Section pool) {
        List<StaticServer> servers = new ArrayList<>();
        Map<String, Integer> ids = new HashMap<>();
        Map<InetSocketAddress, Integer> endpoints = new HashMap<>();
        List<Section> entries = pool.tableList("servers");
        if (entries.isEmpty()) {
            problems.add(pool.line(), "[" + pool.title() + "] has source 'static' and no 'servers'");
        }
        for (Section entry : entries) {
            String id = entry.required("id");
            InetSocketAddress endpoint = readAddress(entry, "endpoint");
            if (endpoint != null && endpoint.getPort() == 0) {
                entry.problem("endpoint", "port 0 is no server's port");
            }
            String zone = readKnownName(entry, "zone", facts.zones());
            String model = readKnownName(entry, "model", facts.models());
            Long cell = entry.count("cell", 0, 1_000_000);
            Double weight = entry.number("weight", 0.01, 100);
            entry.rejectUnknownKeys();
            rejectDuplicate(entry, "id", id, ids);
            rejectDuplicate(entry, "endpoint", endpoint, endpoints);
            if (id != null && endpoint != null) {
                servers.add(new StaticServer(
                        id, endpoint, zone, model, cell == null ? 0 : cell.intValue(), weight == null ? 1 : weight));
            }
        }
        return servers;
    }

    private <T> void rejectDuplicate(Section entry, String key, T value, Map<T, Integer> seen) {
        Integer firstLine = value == null ? null : seen.putIfAbsent(value, entry.lineOf(key));
        if (firstLine != null) {
            entry.problem(key, "this " + key + " is another server's already (line " + firstLine + ")");
        }
    }

    private static String readKnownName(Section entry, String key, List<String> names) {
        String name = entry.text(key);
        if (name != null && !names.contains(name)) {
            entry.problem(
                    key, "the settings have no " + key + " '" + name + "'" + SpellingHint.didYouMean(name, names));
        }
        return name;
    }

    private ClassSection readRequestClass(Section section) {
        LimitSet limits = section.limits(LimitKey.ROUTE_KEYS);
        rejectMaxConnections(section);
        Long clientTimeoutMicros = section.time("client_gives_up", 1_000, 3_600_000_000L);
        Setting<Long> clientTimeout =
                clientTimeoutMicros == null ? null : section.setting("client_gives_up", clientTimeoutMicros);
        section.rejectUnknownKeys();
        return new ClassSection(sectionName(section), section.line(), limits, clientTimeout);
    }

    private static void rejectMaxConnections(Section section) {
        if (section.has(LimitKey.MAX_CONNECTIONS.key)) {
            section.problem(
                    LimitKey.MAX_CONNECTIONS.key,
                    "connections belong to a pool: set 'max_connections' in [pools.NAME]");
        }
    }

    private RouteSection readRoute(Section section) {
        Match match = readMatch(section);
        String requestClass = section.required("class");
        String pool = section.required("pool");
        LimitSet limits = section.limits(LimitKey.ROUTE_KEYS);
        rejectMaxConnections(section);
        WebSocketLimits webSocket = readWebSocket(section, match);
        section.rejectUnknownKeys();
        return new RouteSection(
                sectionName(section),
                section.line(),
                match,
                requestClass == null ? null : section.setting("class", requestClass),
                pool == null ? null : section.setting("pool", pool),
                limits,
                webSocket,
                webSocket == null ? 0 : section.table("websocket").lineOf("resume_first_message"));
    }

    private static WebSocketLimits readWebSocket(Section route, Match match) {
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
        long message = section.count("max_message", 125, MAX_MESSAGE_BYTES, 16 << 20);
        long frame = section.count("max_frame", 125, MAX_MESSAGE_BYTES, message);
        if (frame > message) {
            section.problem("max_frame", "'max_frame' is " + frame + ", more than 'max_message' (" + message + ")");
        }
        long idle = section.time("idle_timeout", 1_000_000, 86_400_000_000L, 0);
        long ping = section.time("ping_interval", 100_000, 3_600_000_000L, 30_000_000);
        long pong = section.time("ping_timeout", 100_000, 3_600_000_000L, Math.min(ping, 10_000_000));
        if (pong > ping) {
            section.problem(
                    "ping_timeout",
                    "'ping_timeout' is " + DurationText.format(pong) + ", longer than 'ping_interval' ("
                            + DurationText.format(ping) + ")");
        }
        long maxLife = section.time("max_life", 1_000_000, 604_800_000_000L, 0);
        long drain = section.time("drain_time", 100_000, 600_000_000L, 10_000_000);
        long reconnects = section.count("reconnect_rate", 1, 100_000, 50);
        Resume resume = readResume(section);
        TunnelCloseNotice closeNotice = readCloseNotice(section);
        TunnelBounds bounds = new TunnelBounds(
                sectionName(route),
                (int) section.count("max_tunnels", 1, MAX_TUNNELS, Integer.MAX_VALUE),
                (int) section.count("max_tunnels_per_tenant", 1, MAX_TUNNELS, Integer.MAX_VALUE),
                section.time("evict_after", 100_000, 86_400_000_000L, 0));
        section.rejectUnknownKeys();
        return new WebSocketLimits(
                frame, message, idle, ping, pong, maxLife, drain, reconnects, closeNotice, bounds, resume);
    }

    private static TunnelCloseNotice readCloseNotice(Section section) {
        int code = (int) section.count("drain_code", 1001, 4999, 1001);
        if (code > 1001 && code < 4000 && code != 1012 && code != 1013) {
            section.problem("drain_code", "'drain_code' is " + code + "; it must be 1001, 1012, 1013 or 4000 to 4999");
        }
        String reason = section.text("drain_reason");
        if (reason != null && reason.getBytes(StandardCharsets.UTF_8).length > MAX_CLOSE_REASON_BYTES) {
            section.problem("drain_reason", "'drain_reason' is longer than " + MAX_CLOSE_REASON_BYTES + " bytes");
        }
        return new TunnelCloseNotice(code, reason == null ? "going away" : reason);
    }

    private static Resume readResume(Section section) {
        List<String> protocols = section.texts("resumable");
        String header = section.text("resume_header");
        boolean repeatFirstMessage = Boolean.TRUE.equals(section.flag("resume_first_message"));
        if (protocols == null || protocols.isEmpty()) {
            if (header != null || repeatFirstMessage) {
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
        if (header == null && !repeatFirstMessage) {
            section.problem("resumable", "how to resume is not said: 'resume_header' or" + " 'resume_first_message'");
        }
        if (header == null) {
            return new Resume(Set.copyOf(protocols), null, null, repeatFirstMessage);
        }
        int colon = header.indexOf(':');
        String name = colon < 0 ? "" : header.substring(0, colon).trim();
        String value = header.substring(colon + 1).trim();
        if (!name.matches(TOKEN) || !value.matches("[\\x20-\\x7e]*")) {
            section.problem("resume_header", "'" + header + "' is no header such as 'Resume: yes'");
        } else if (name.matches("(?i)sec-websocket-.*|" + RESERVED_HEADERS)) {
            section.problem("resume_header", "'" + name + "' belongs to the handshake or to the protocol");
        }
        return new Resume(Set.copyOf(protocols), name, value, repeatFirstMessage);
    }

    private Match readMatch(Section section) {
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
        Set<String> methods = readMethods(section);
        Section headers = section.table("headers");
        List<HeaderTest> tests = headers == null ? List.of() : readHeaderTests(headers);
        Long priority = section.count("priority", -MAX_PRIORITY, MAX_PRIORITY);
        return path == null ? null : new Match(host, path, methods, tests, priority == null ? 0 : priority.intValue());
    }

    private static Set<String> readMethods(Section section) {
        Set<String> methods = new TreeSet<>();
        List<String> names = section.texts("methods");
        if (names != null && names.isEmpty()) {
            section.problem("methods", "'methods' is empty, so nothing matches; leave it out for any");
        }
        for (String name : names == null ? List.<String>of() : names) {
            if (!METHODS.contains(name)) {
                section.problem(
                        "methods",
                        "no client sends method '" + name + "'; there are GET and POST"
                                + SpellingHint.didYouMean(name, METHODS));
            }
            methods.add(name);
        }
        return methods;
    }

    private static List<HeaderTest> readHeaderTests(Section headers) {
        List<HeaderTest> tests = new ArrayList<>();
        Map<String, String> seen = new HashMap<>();
        for (String name : headers.keys()) {
            String lowerCaseName = name.toLowerCase(Locale.ROOT);
            if (!name.matches(TOKEN)) {
                headers.problem(name, "there is no header '" + name + "'; a name is one word (RFC 9110, section 5.1)");
            } else if (lowerCaseName.equals("host")) {
                headers.problem(name, "the host is matched with 'host', not as a header");
            }
            String earlierName = seen.put(lowerCaseName, name);
            if (earlierName != null) {
                headers.problem(name, "header '" + name + "' is tested twice");
            }
            tests.add(readHeaderTest(headers, name, lowerCaseName));
        }
        headers.rejectUnknownKeys();
        return List.copyOf(tests);
    }

    /** Reads {@code Name = "value"}, {@code Name = true} (present) or {@code Name = false} (absent). */
    private static HeaderTest readHeaderTest(Section headers, String name, String lowerCaseName) {
        Boolean present = headers.isBoolean(name) ? headers.flag(name) : null;
        if (present != null) {
            return new HeaderTest(lowerCaseName, present ? HeaderTest.Kind.PRESENT : HeaderTest.Kind.ABSENT, null);
        }
        String value = headers.text(name);
        if (value != null && (!value.equals(value.trim()) || value.chars().anyMatch(c -> c < ' '))) {
            headers.problem(
                    name, "no header has a value that begins or ends with a space or has a control" + " character");
        }
        return new HeaderTest(lowerCaseName, HeaderTest.Kind.EQUAL, value == null ? "" : value);
    }
}
