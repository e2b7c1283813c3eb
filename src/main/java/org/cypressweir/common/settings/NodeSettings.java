package org.cypressweir.common.settings;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The settings of one process: its identity, addresses and limits, and the timing bounds and fault tolerance of the
 * deployment. Unknown fields of the file are ignored. Immutable.
 *
 * @param dataDirectory null where the process has no disk
 * @param memoryMb memory limit of the process in MiB
 * @param descriptors limit of open file descriptors
 * @param application address of the application instance on this machine; null where there is none
 * @param listen listen addresses by purpose
 * @param firstPort first port of the range for connections between processes of the mesh
 * @param seeds addresses of the controllers that a process knows at its start
 * @param zones region by zone, in the order of the file
 * @param heartbeatMicros interval of the application instance's heartbeats
 * @param bounds the timing bounds by name: durations in microseconds, numbers as they are, booleans as 0 or 1
 * @param machineFailures number of simultaneous machine failures to tolerate; negative where it is not set
 */
public record NodeSettings(
        String name,
        String ip,
        String zone,
        String region,
        boolean initialStart,
        String dataDirectory,
        int memoryMb,
        int descriptors,
        String application,
        String service,
        Map<String, String> listen,
        int firstPort,
        int lastPort,
        List<String> seeds,
        Map<String, String> zones,
        long heartbeatMicros,
        Map<String, Double> bounds,
        int machineFailures) {

    private static final Set<String> WILDCARD_ADDRESSES = Set.of("0.0.0.0", "[::]");
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_MEMORY_MB = 256;
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final long DEFAULT_HEARTBEAT_MICROS = 1_500_000;
    private static final int MACHINE_FAILURES_NOT_SET = -1;

    /** Parses and validates a file; on the left all of its problems, one line each. */
    public static Either<List<String>, NodeSettings> read(byte[] file) {
        Either<String, Map<String, Object>> document = JsonDocuments.read(file);
        if (document.isLeft()) {
            return Either.left(List.of(document.getLeft()));
        }
        SettingsFields root = SettingsFields.root(document.get());
        NodeSettings settings = read(root);
        return root.problems().isEmpty() ? Either.right(settings) : Either.left(root.problems());
    }

    private static NodeSettings read(SettingsFields root) {
        SettingsFields node = root.object("localNode");
        SettingsFields network = root.object("network");
        SettingsFields limits = node.object("limits");
        SettingsFields terms = root.object("termTable");
        List<Long> ports = readPortRange(network);
        Map<String, Double> bounds = readTimingBounds(terms.object("timingBounds"));
        return new NodeSettings(
                node.requiredText("nodeName"),
                node.requiredText("ipAddress"),
                node.requiredText("zone"),
                node.text("region", ""),
                node.flag("initialStart"),
                node.text("dataDirectory", null),
                (int) limits.number("memoryMb", DEFAULT_MEMORY_MB),
                (int) limits.number("fileDescriptors", DEFAULT_DESCRIPTORS),
                node.text("application", null),
                node.text("service", null),
                network.object("listenAddresses").asTexts(),
                ports.get(0).intValue(),
                ports.get(1).intValue(),
                network.addresses("seedNodes"),
                network.object("zones").asTexts(),
                root.object("platform").durationMicros("heartbeat", DEFAULT_HEARTBEAT_MICROS),
                bounds,
                (int) terms.object("faultTolerance").number("machineFailures", MACHINE_FAILURES_NOT_SET));
    }

    /** The first and the last port. */
    private static List<Long> readPortRange(SettingsFields network) {
        List<Long> ports = network.integers("internalPortRange");
        if (ports.size() != 2 || ports.get(0) < 1 || ports.get(1) > MAX_PORT || ports.get(0) > ports.get(1)) {
            network.addProblem("network.internalPortRange must be two ports");
            return List.of(0L, 0L);
        }
        return ports;
    }

    private static Map<String, Double> readTimingBounds(SettingsFields timingBounds) {
        Map<String, Double> bounds = new LinkedHashMap<>();
        timingBounds.forEach((name, value) -> {
            String path = "termTable.timingBounds." + name;
            if (value instanceof String text) {
                bounds.put(name, (double) timingBounds.parseDuration(path, text));
            } else if (value instanceof Number number) {
                bounds.put(name, number.doubleValue());
            } else if (value instanceof Boolean flag) {
                bounds.put(name, flag ? 1.0 : 0.0);
            } else if (value != null) {
                timingBounds.addProblem(path + " must be a duration, a number or a boolean");
            }
        });
        return bounds;
    }

    /** The timing bound with that name, in microseconds. */
    public long durationMicros(String name, long defaultMicros) {
        return Math.round(bounds.getOrDefault(name, (double) defaultMicros));
    }

    /** The timing bound with that name as a number. */
    public double number(String name, double defaultValue) {
        return bounds.getOrDefault(name, defaultValue);
    }

    /** The address at which other processes reach the API of this one; empty where it has none. */
    public String controlAddress() {
        String address = listen.getOrDefault("controlPlane", "");
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, Math.max(0, colon));
        return WILDCARD_ADDRESSES.contains(host) ? ip + address.substring(colon) : address;
    }

    /** The addresses at which the controllers among the seeds accept peer connections. */
    public Set<String> seedPeerAddresses() {
        Set<String> addresses = new TreeSet<>();
        seeds.forEach(seed -> addresses.add(peerAddress(seed.substring(0, seed.lastIndexOf(':')))));
        return addresses;
    }

    /** The address at which the process of the mesh on that machine accepts peer connections. */
    public String peerAddress(String machineIp) {
        return machineIp + ":" + firstPort;
    }
}
