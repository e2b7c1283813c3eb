package org.cypressweir.common.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a process is told of itself, its machine and the terms that hold. Unknown fields are let be.
 *
 * @param dataDirectory null where there is no disk
 * @param application address of the server on this machine; null where there is none
 * @param zones by name, with their regions, in the order of the file
 * @param bounds times in microseconds, figures as they are, flags as 0 or 1
 * @param machineFailures how many machines may be lost at once; below 0 where that is not told
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

    private static final Set<String> EVERYWHERE = Set.of("0.0.0.0", "[::]");

    /** Reads and checks a whole file; else all that is wrong with it, a line each. */
    public static Either<List<String>, NodeSettings> read(byte[] file) {
        Either<String, Map<String, Object>> read = JsonDocuments.read(file);
        if (read.isLeft()) {
            return Either.left(List.of(read.getLeft()));
        }
        SettingsFields root = new SettingsFields(read.get(), "", new ArrayList<>());
        SettingsFields node = root.object("localNode");
        SettingsFields network = root.object("network");
        SettingsFields limits = node.object("limits");
        List<Long> ports = network.numbers("internalPortRange");
        if (ports.size() != 2 || ports.get(0) < 1 || ports.get(1) > 65_535 || ports.get(0) > ports.get(1)) {
            root.wrong("network.internalPortRange wants two ports");
            ports = List.of(0L, 0L);
        }
        Map<String, Double> bounds = new LinkedHashMap<>();
        root.object("termTable").object("timingBounds").each((name, value) -> {
            if (value instanceof String text) {
                bounds.put(name, (double) root.time("termTable.timingBounds." + name, text));
            } else if (value instanceof Number number) {
                bounds.put(name, number.doubleValue());
            } else if (value instanceof Boolean flag) {
                bounds.put(name, flag ? 1.0 : 0.0);
            } else if (value != null) {
                root.wrong("termTable.timingBounds." + name + " is no time, number or flag");
            }
        });
        NodeSettings papers = new NodeSettings(
                node.text("nodeName"),
                node.text("ipAddress"),
                node.text("zone"),
                node.maybe("region", ""),
                node.flag("initialStart"),
                node.maybe("dataDirectory", null),
                (int) limits.number("memoryMb", 256),
                (int) limits.number("fileDescriptors", 1024),
                node.maybe("application", null),
                node.maybe("service", null),
                network.object("listenAddresses").texts(),
                ports.get(0).intValue(),
                ports.get(1).intValue(),
                network.addresses("seedNodes"),
                network.object("zones").texts(),
                root.object("platform").time("heartbeat", 1_500_000),
                bounds,
                (int) root.object("termTable").object("faultTolerance").number("machineFailures", -1));
        return root.problems().isEmpty() ? Either.right(papers) : Either.left(root.problems());
    }

    /** A time of the terms, in microseconds. */
    public long bound(String name, long otherwise) {
        return Math.round(bounds.getOrDefault(name, (double) otherwise));
    }

    /** A figure of the terms. */
    public double figure(String name, double otherwise) {
        return bounds.getOrDefault(name, otherwise);
    }

    /** Where the process is asked by others; empty where it is not. */
    public String control() {
        String at = listen.getOrDefault("controlPlane", "");
        int colon = at.lastIndexOf(':');
        return EVERYWHERE.contains(at.substring(0, Math.max(0, colon))) ? ip + at.substring(colon) : at;
    }

    /** Where harbours are reached that the file names. */
    public Set<String> seedLines() {
        Set<String> lines = new TreeSet<>();
        seeds.forEach(s -> lines.add(lines(s.substring(0, s.lastIndexOf(':')))));
        return lines;
    }

    /** Where processes of the mesh reach each other, on any machine. */
    public String lines(String otherIp) {
        return otherIp + ":" + firstPort;
    }
}
