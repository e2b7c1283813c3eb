package org.cypressweir.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.common.util.Ids;
import org.cypressweir.common.util.Json;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/** A list of servers from discovery: the complete list, or what has changed. */
record ServerList(long revision, boolean complete, List<Entry> entries) {

    record Entry(Server server, InetSocketAddress address) {
        /** The same server, marked as removed. */
        Entry asRemoved() {
            return new Entry(
                    new Server(
                            server.id(),
                            server.zone(),
                            server.kind(),
                            server.cell(),
                            Phase.REMOVED,
                            server.startMicros(),
                            server.weight()),
                    address);
        }
    }

    List<Server> servers() {
        return entries.stream().map(Entry::server).toList();
    }

    /** Parses lists; zones and models become their index in the settings. */
    record Reader(List<String> zones, List<String> models) {

        private static final JsonFactory JSON = new JsonFactory();

        ServerList read(byte[] text) throws IOException {
            try (JsonParser parser = JSON.createParser(text)) {
                return read(Json.document(parser));
            }
        }

        /** Accepts all of a list or none of it: a list with one malformed entry is not trusted in the others. */
        ServerList read(Map<?, ?> m) throws IOException {
            if (!(m.get("rev") instanceof Long revision)
                    || !(m.get("all") instanceof Boolean complete)
                    || !(m.get("targets") instanceof List<?> targets)) {
                throw new IOException("a list without 'rev', 'all' or 'targets'");
            }
            List<Entry> entries = new ArrayList<>(targets.size());
            for (Object target : targets) {
                entries.add(entry(target));
            }
            return new ServerList(revision, complete, entries);
        }

        private Entry entry(Object target) throws IOException {
            if (!(target instanceof Map<?, ?> m)
                    || !(m.get("uid") instanceof String uid)
                    || !(m.get("endpoint") instanceof String endpoint)) {
                throw new IOException("a target without 'uid' or 'endpoint'");
            }
            Phase phase =
                    switch (String.valueOf(m.get("state"))) {
                        case "in_service" -> Phase.READY;
                        case "terminating" -> Phase.DRAINING;
                        case "terminated" -> Phase.REMOVED;
                        default -> throw new IOException("unknown state '" + m.get("state") + "'");
                    };
            Server server = new Server(
                    Ids.of(uid),
                    zones.indexOf(m.get("az")),
                    models.indexOf(m.get("model")),
                    (int) Json.longValue(m, "pod_group", 0),
                    phase,
                    Json.longValue(m, "boot_ms", 0) * 1000,
                    Json.doubleValue(m, "capacity_hint", 1));
            try {
                return new Entry(server, Addresses.parse(endpoint));
            } catch (IllegalArgumentException e) {
                throw new IOException(e.getMessage(), e);
            }
        }
    }
}
