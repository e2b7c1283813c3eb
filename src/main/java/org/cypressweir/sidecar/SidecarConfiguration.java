package org.cypressweir.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.common.util.Json;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.SettingsReader;
import org.cypressweir.sidecar.admin.ConfigurationCompleteness;
import org.cypressweir.sidecar.admin.RequestClassSlots;
import org.cypressweir.sidecar.operatorconfig.Facts;

/** What one sidecar is told at its start. */
record SidecarConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress operator,
        int sockets,
        Settings settings,
        long connectMicros,
        long drainGraceMicros,
        ServerList known,
        ServerList.Reader lists,
        ConfigurationCompleteness shape) {

    /**
     * Descriptors beside the clients' and servers' connections: the runtime, its files and the event loop
     * hold 11; discovery's connection, a second one while it moves, and the configuration read again make 14.
     */
    private static final int OWN_DESCRIPTORS = 24;
    /** What the rehearsal of a process beside this one takes of the descriptors that both share. */
    private static final int REHEARSAL_DESCRIPTORS = 48;
    /** Of the requests that clients can have in hand, the part that is kept free. */
    private static final int FREE_PART = 32;

    private static final int LEAST_DESCRIPTORS = 128;

    /** Names of the request classes that the settings have, without the places of classes that are gone. */
    List<String> classNames() {
        return settings.classes().stream()
                .filter(c -> c != RequestClass.GONE)
                .map(RequestClass::name)
                .toList();
    }

    /** Reads the file that {@code LB_CONFIG} names; the exception's message is one plain line. */
    static SidecarConfiguration read(Map<String, String> environment) throws IOException {
        return read(environment, null);
    }

    /** It has to have all that this one has; null for no such demand. */
    private static SidecarConfiguration read(Map<String, String> environment, ConfigurationCompleteness demanded)
            throws IOException {
        String file = environment.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IOException("LB_CONFIG names no file");
        }
        try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(Path.of(file)))) {
            return of(Json.document(parser), environment, demanded);
        } catch (JsonProcessingException e) {
            throw new IOException(file + ": not JSON: " + e.getOriginalMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        } catch (FileSystemException e) {
            throw new IOException(file + ": can't be read", e);
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Reads the file of a running sidecar, which is newer than what the environment says of discovery. */
    static SidecarConfiguration reread(Map<String, String> environment, SidecarConfiguration inForce)
            throws IOException {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("LB_DISCOVERY");
        return read(others, inForce.shape);
    }

    /** The same with other servers, which nothing has to be asked for, and within other descriptors. */
    SidecarConfiguration with(int otherSockets, ServerList servers) {
        return new SidecarConfiguration(
                name,
                listen,
                discovery,
                null,
                otherSockets,
                settings.with(settings.limits(), false),
                connectMicros,
                drainGraceMicros,
                servers,
                lists,
                shape);
    }

    /** The same within three quarters of its descriptors, while another process still has some. */
    SidecarConfiguration beside() {
        int part = Math.max(LEAST_DESCRIPTORS, sockets / 4 * 3);
        return new SidecarConfiguration(
                name,
                listen,
                discovery,
                operator,
                part,
                settings.with(
                        settings.limits()
                                .with(
                                        Math.min(settings.limits().open(), serverConnections(part)),
                                        settings.limits().held(),
                                        serverConnections(part)),
                        settings.discoveryOnAsk()),
                connectMicros,
                drainGraceMicros,
                known,
                lists,
                shape);
    }

    /** The same with its classes at these numbers. */
    SidecarConfiguration with(List<RequestClass> placed) {
        return new SidecarConfiguration(
                name,
                listen,
                discovery,
                operator,
                sockets,
                settings.with(placed),
                connectMicros,
                drainGraceMicros,
                known,
                lists,
                shape);
    }

    /** What an operators' file is checked against. */
    Facts facts() {
        return new Facts(settings, lists.zones(), lists.models(), serverConnections(), listen);
    }

    private static SidecarConfiguration of(
            Map<?, ?> c, Map<String, String> environment, ConfigurationCompleteness demanded) throws IOException {
        if (!(c.get("settings") instanceof Map<?, ?> facts)) {
            throw new IOException("'settings' is missing");
        }
        String fault = demanded == null ? null : demanded.fault(c);
        if (fault != null) {
            throw new IOException(fault);
        }
        Map<?, ?> limits = Json.object(facts, "policy_limits");
        ServerList.Reader lists =
                new ServerList.Reader(SettingsReader.names(facts, "zones"), SettingsReader.names(facts, "models"));
        ServerList known = c.get("known") instanceof Map<?, ?> m ? lists.read(m) : new ServerList(0, true, List.of());
        int sockets = (int) Math.min(65_536, Json.longValue(Json.object(c, "limits"), "sockets", 1024));
        if (sockets < LEAST_DESCRIPTORS) {
            throw new IOException("'sockets' must be " + LEAST_DESCRIPTORS + " or more");
        }
        InetSocketAddress operator = operator(c, environment.get("LB_OPERATOR"));
        // The operators' door takes its part before clients and servers share the rest.
        int told = sockets;
        sockets -= operator == null ? 0 : AdminListener.CALLERS + 1;
        sockets -= InheritedSocket.promised(environment.get("LB_SOCKET_FD")) ? REHEARSAL_DESCRIPTORS : 0;
        return new SidecarConfiguration(
                text(c, "name", environment.get("LB_NAME")),
                Addresses.parse(text(c, "listen", environment.get("LB_LISTEN"))),
                Addresses.parse(text(c, "discovery", environment.get("LB_DISCOVERY"))),
                operator,
                sockets,
                within(checked(SettingsReader.read(seed(c), facts)), told, sockets),
                Json.longValue(limits, "connect_timeout_us", 250_000),
                Json.longValue(Json.object(facts, "rules"), "drain_grace_us", 0),
                known,
                lists,
                new ConfigurationCompleteness(c));
    }

    private static Settings checked(Settings s) {
        String twice = RequestClassSlots.twice(s.classes());
        require(twice == null, "class '" + twice + "' stands twice");
        s.classes()
                .forEach(c -> require(
                        c.deadlineMicros() > 0 && !c.name().isEmpty(),
                        "'deadline_us' of class '" + c.name() + "' must be above 0"));
        require(s.limits().attempts() > 0, "'attempts_cap' must be above 0");
        return s;
    }

    private static void require(boolean held, String otherwise) {
        if (!held) {
            throw new IllegalArgumentException("settings: " + otherwise);
        }
    }

    /**
     * The module is told what really holds. Servers close what has been idle for the site's time, and a
     * request written to such a connection is lost: the pool closes well before. And each request in hand
     * keeps a client's connection busy, of which clients have a third of the descriptors at most: where all
     * are busy their next requests are lost whatever they are worth, so a few stay free to be refused on.
     * No more than a few: an eighth kept free was an eighth of what the busiest sidecar of a fleet could
     * serve, while every server had room.
     */
    private static Settings within(Settings s, int told, int sockets) {
        Limits l = s.limits();
        Limits kept = new Limits(
                l.attempts(),
                l.cancelling(),
                l.probing(),
                l.retryAdvice(),
                l.maxRetryAdviceMicros(),
                l.idleMicros() / 3 * 2,
                open(l, told, sockets),
                l.held(),
                l.secondCopies(),
                serverConnections(sockets));
        return s.with(kept, s.discoveryOnAsk());
    }

    /** Clients go by what the platform says; what this process keeps for other ends takes none of theirs. */
    private static int open(Limits l, int told, int sockets) {
        int asked = told / 3 - Math.max(1, told / 3 / FREE_PART);
        return Math.min(l.open(), Math.min(asked, serverConnections(sockets)));
    }

    /** Null where operators have no door. */
    private static InetSocketAddress operator(Map<?, ?> c, String first) throws IOException {
        boolean told = first != null && !first.isEmpty() || c.get("operator") != null;
        return told ? Addresses.parse(text(c, "operator", first)) : null;
    }

    private static String text(Map<?, ?> c, String name, String first) throws IOException {
        if (first != null && !first.isEmpty()) {
            return first;
        }
        if (c.get(name) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new IOException("'" + name + "' is missing");
    }

    private static long seed(Map<?, ?> c) throws IOException {
        try {
            return Long.parseUnsignedLong(text(c, "seed", null), 16);
        } catch (NumberFormatException e) {
            throw new IOException("'seed' must be up to 16 hex digits", e);
        }
    }

    /**
     * Connections to servers: four ninths of what is left. Clients hold a third of all descriptors for
     * requests, each of which may be out at a server, so the servers' part is that third and a few idle ones
     * more; what remains for clients is that third and as many again as idle or unfit ones may take.
     */
    int serverConnections() {
        return serverConnections(sockets);
    }

    private static int serverConnections(int sockets) {
        return (sockets - OWN_DESCRIPTORS) / 9 * 4;
    }

    int clientConnections() {
        return clientConnections(sockets);
    }

    private static int clientConnections(int sockets) {
        return sockets - OWN_DESCRIPTORS - serverConnections(sockets);
    }
}
