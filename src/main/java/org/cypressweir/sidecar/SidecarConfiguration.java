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

/** The configuration of one sidecar, from its file and the environment. */
record SidecarConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress adminAddress,
        int sockets,
        Settings settings,
        long connectTimeoutMicros,
        long drainGraceMicros,
        ServerList initialServers,
        ServerList.Reader listReader,
        ConfigurationCompleteness completeness) {

    /**
     * File descriptors for other uses than client and server connections: the runtime, its files and the event loop use
     * 11; discovery's connection, a second one while it moves, and the configuration file during a reload bring this to
     * 14.
     */
    private static final int RESERVED_DESCRIPTORS = 24;
    /** File descriptors that the warm-up of a process beside this one takes from the shared limit. */
    private static final int WARM_UP_DESCRIPTORS = 48;
    /** One in this many of the client connections that may carry requests is kept free for rejections. */
    private static final int SPARE_CONNECTIONS_DIVISOR = 32;

    private static final int MIN_DESCRIPTORS = 128;

    /** Names of the configured request classes, without the slots of removed classes. */
    List<String> classNames() {
        return settings.classes().stream()
                .filter(c -> c != RequestClass.REMOVED)
                .map(RequestClass::name)
                .toList();
    }

    /** Reads the file that {@code LB_CONFIG} names; the exception's message is a single line. */
    static SidecarConfiguration read(Map<String, String> environment) throws IOException {
        return read(environment, null);
    }

    /** Reads the file and requires the completeness given; null requires nothing. */
    private static SidecarConfiguration read(Map<String, String> environment, ConfigurationCompleteness required)
            throws IOException {
        String file = environment.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IOException("LB_CONFIG names no file");
        }
        try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(Path.of(file)))) {
            return of(Json.document(parser), environment, required);
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

    /**
     * Reads the file again for a running sidecar; the file's discovery address takes precedence over the environment.
     */
    static SidecarConfiguration reread(Map<String, String> environment, SidecarConfiguration inForce)
            throws IOException {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("LB_DISCOVERY");
        return read(others, inForce.completeness);
    }

    /** A copy with the given servers and descriptor limit that makes no discovery requests. */
    SidecarConfiguration with(int otherSockets, ServerList servers) {
        return new SidecarConfiguration(
                name,
                listen,
                discovery,
                null,
                otherSockets,
                settings.with(settings.limits(), false),
                connectTimeoutMicros,
                drainGraceMicros,
                servers,
                listReader,
                completeness);
    }

    /** A copy limited to three quarters of the descriptors, for use while another process still holds some of them. */
    SidecarConfiguration withReducedDescriptors() {
        int reducedSockets = Math.max(MIN_DESCRIPTORS, sockets / 4 * 3);
        return new SidecarConfiguration(
                name,
                listen,
                discovery,
                adminAddress,
                reducedSockets,
                settings.with(
                        settings.limits()
                                .with(
                                        Math.min(settings.limits().maxOpen(), serverConnections(reducedSockets)),
                                        settings.limits().maxQueued(),
                                        serverConnections(reducedSockets)),
                        settings.discoveryOnAsk()),
                connectTimeoutMicros,
                drainGraceMicros,
                initialServers,
                listReader,
                completeness);
    }

    /** A copy with the request classes at the given indexes. */
    SidecarConfiguration with(List<RequestClass> classes) {
        return new SidecarConfiguration(
                name,
                listen,
                discovery,
                adminAddress,
                sockets,
                settings.with(classes),
                connectTimeoutMicros,
                drainGraceMicros,
                initialServers,
                listReader,
                completeness);
    }

    /** The facts against which an operators' file is validated. */
    Facts facts() {
        return new Facts(settings, listReader.zones(), listReader.models(), serverConnections(), listen);
    }

    private static SidecarConfiguration of(
            Map<?, ?> document, Map<String, String> environment, ConfigurationCompleteness required)
            throws IOException {
        if (!(document.get("settings") instanceof Map<?, ?> settingsObject)) {
            throw new IOException("'settings' is missing");
        }
        String fault = required == null ? null : required.findMissing(document);
        if (fault != null) {
            throw new IOException(fault);
        }
        Map<?, ?> limits = Json.object(settingsObject, "policy_limits");
        ServerList.Reader listReader = new ServerList.Reader(
                SettingsReader.names(settingsObject, "zones"), SettingsReader.names(settingsObject, "models"));
        ServerList initialServers =
                document.get("known") instanceof Map<?, ?> m ? listReader.read(m) : new ServerList(0, true, List.of());
        int sockets = (int) Math.min(65_536, Json.longValue(Json.object(document, "limits"), "sockets", 1024));
        if (sockets < MIN_DESCRIPTORS) {
            throw new IOException("'sockets' must be " + MIN_DESCRIPTORS + " or more");
        }
        InetSocketAddress adminAddress = adminAddress(document, environment.get("LB_OPERATOR"));
        // The admin listener's descriptors are set aside before clients and servers share the rest.
        int configuredSockets = sockets;
        sockets -= adminAddress == null ? 0 : AdminListener.MAX_CONNECTIONS + 1;
        sockets -= InheritedSocket.isConfigured(environment.get("LB_SOCKET_FD")) ? WARM_UP_DESCRIPTORS : 0;
        return new SidecarConfiguration(
                text(document, "name", environment.get("LB_NAME")),
                Addresses.parse(text(document, "listen", environment.get("LB_LISTEN"))),
                Addresses.parse(text(document, "discovery", environment.get("LB_DISCOVERY"))),
                adminAddress,
                sockets,
                withConnectionLimits(
                        validate(SettingsReader.read(seed(document), settingsObject)), configuredSockets, sockets),
                Json.longValue(limits, "connect_timeout_us", 250_000),
                Json.longValue(Json.object(settingsObject, "rules"), "drain_grace_us", 0),
                initialServers,
                listReader,
                new ConfigurationCompleteness(document));
    }

    private static Settings validate(Settings s) {
        String duplicate = RequestClassSlots.firstDuplicateName(s.classes());
        require(duplicate == null, "class '" + duplicate + "' stands twice");
        s.classes()
                .forEach(c -> require(
                        c.deadlineMicros() > 0 && !c.name().isEmpty(),
                        "'deadline_us' of class '" + c.name() + "' must be above 0"));
        require(s.limits().maxAttempts() > 0, "'attempts_cap' must be above 0");
        return s;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException("settings: " + message);
        }
    }

    /**
     * Adjusts the limits to those that really hold before the load balancer sees them.
     *
     * <p>Servers close connections that were idle for the configured time, and a request written to such a connection
     * is lost, so the pool closes them after two thirds of that time. Each request in progress occupies a client
     * connection, and clients hold at most a third of the descriptors. If all of these are busy, further requests are
     * lost whatever their priority, so a few connections stay free for rejections. Only a few: keeping an eighth free
     * cost an eighth of what the busiest sidecar of a fleet could serve while every server had capacity.
     */
    private static Settings withConnectionLimits(Settings s, int configuredSockets, int sockets) {
        Limits limits = s.limits();
        Limits adjusted = new Limits(
                limits.maxAttempts(),
                limits.cancelling(),
                limits.probing(),
                limits.retryAdvice(),
                limits.maxRetryAdviceMicros(),
                limits.idleMicros() / 3 * 2,
                maxOpenRequests(limits, configuredSockets, sockets),
                limits.maxQueued(),
                limits.hedging(),
                serverConnections(sockets));
        return s.with(adjusted, s.discoveryOnAsk());
    }

    /**
     * The client limit follows from the platform's setting; descriptors that this process reserves for itself do not
     * reduce it unless they leave too few server connections.
     */
    private static int maxOpenRequests(Limits limits, int configuredSockets, int sockets) {
        int clientShare = configuredSockets / 3 - Math.max(1, configuredSockets / 3 / SPARE_CONNECTIONS_DIVISOR);
        return Math.min(limits.maxOpen(), Math.min(clientShare, serverConnections(sockets)));
    }

    /** Null if there is no admin listener. */
    private static InetSocketAddress adminAddress(Map<?, ?> document, String override) throws IOException {
        boolean isConfigured = override != null && !override.isEmpty() || document.get("operator") != null;
        return isConfigured ? Addresses.parse(text(document, "operator", override)) : null;
    }

    private static String text(Map<?, ?> document, String name, String override) throws IOException {
        if (override != null && !override.isEmpty()) {
            return override;
        }
        if (document.get(name) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new IOException("'" + name + "' is missing");
    }

    private static long seed(Map<?, ?> document) throws IOException {
        try {
            return Long.parseUnsignedLong(text(document, "seed", null), 16);
        } catch (NumberFormatException e) {
            throw new IOException("'seed' must be up to 16 hex digits", e);
        }
    }

    /**
     * Maximum number of connections to servers: four ninths of the descriptors that are not reserved.
     *
     * <p>Clients hold a third of all descriptors for requests, each of which may be out at a server. The servers' part
     * is therefore that third plus a few idle connections; clients get the same third plus as many again for idle or
     * rejected connections.
     */
    int serverConnections() {
        return serverConnections(sockets);
    }

    private static int serverConnections(int sockets) {
        return (sockets - RESERVED_DESCRIPTORS) / 9 * 4;
    }

    int clientConnections() {
        return clientConnections(sockets);
    }

    private static int clientConnections(int sockets) {
        return sockets - RESERVED_DESCRIPTORS - serverConnections(sockets);
    }
}
