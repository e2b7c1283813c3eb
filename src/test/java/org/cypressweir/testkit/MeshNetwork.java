package org.cypressweir.testkit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cypressweir.common.util.Addresses;

/**
 * The addresses of the processes of a {@link MeshFixture}: each has a loopback address of its own in a random network
 * of 127.0.0.0/8. Controllers are named h1, h2, and so on, proxies p1, p2, and so on; the ports are the same for all.
 */
final class MeshNetwork implements AutoCloseable {

    static final int PEER_PORT = 21_700;
    static final int OUTBOUND_PORT = 21_780;
    static final int READINESS_PORT = 21_781;
    static final int CONTROL_PORT = 21_790;
    static final int APPLICATION_PORT = 21_800;
    static final int METRICS_PORT = 21_810;

    private static final int FIRST_ADDITIONAL_HOST = 51;
    private static final int SPARE_HOST = 99;
    private static final int FIRST_PROXY_HOST = 101;
    private static final int RELAY_HOST = 250;

    private final List<String> controllers;
    private final List<String> proxies;
    private final String prefix;
    private final Map<String, String> ips = new LinkedHashMap<>();
    private final ConnectionRelay relay;
    private int additionalCount;

    /** @param partitionable whether the connections between the processes go through a relay */
    MeshNetwork(int controllerCount, int proxyCount, boolean partitionable) throws IOException {
        SecureRandom random = new SecureRandom();
        prefix = "127." + (1 + random.nextInt(254)) + "." + random.nextInt(255) + ".";
        controllers = names("h", controllerCount);
        proxies = names("p", proxyCount);
        for (int i = 0; i < controllerCount; i++) {
            ips.put(controllers.get(i), prefix + (1 + i));
        }
        for (int i = 0; i < proxyCount; i++) {
            ips.put(proxies.get(i), prefix + (FIRST_PROXY_HOST + i));
        }
        ips.put(MeshFixture.SPARE, prefix + SPARE_HOST);
        Map<String, InetSocketAddress> peerAddresses = new LinkedHashMap<>();
        ips.keySet().forEach(name -> peerAddresses.put(name, address(name, PEER_PORT)));
        relay = partitionable ? new ConnectionRelay(prefix + RELAY_HOST, peerAddresses) : null;
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.rangeClosed(1, count).mapToObj(i -> prefix + i).toList();
    }

    /** The names of the controllers that are seeds. */
    List<String> controllers() {
        return controllers;
    }

    List<String> proxies() {
        return proxies;
    }

    /** Gives an address to a controller that is not a seed. The relay does not know it. */
    void addController(String name) {
        ips.put(name, prefix + (FIRST_ADDITIONAL_HOST + additionalCount));
        additionalCount++;
    }

    String ip(String name) {
        return ips.get(name);
    }

    InetSocketAddress address(String name, int port) {
        return new InetSocketAddress(ips.get(name), port);
    }

    /** The address of a process for its peers, as text. */
    String peerAddress(String name) {
        return ips.get(name) + ":" + PEER_PORT;
    }

    /** The control-plane address of a process, as text. */
    String controlAddress(String name) {
        return ips.get(name) + ":" + CONTROL_PORT;
    }

    /** The relay through which all connections between processes go; null without one. */
    ConnectionRelay relay() {
        return relay;
    }

    /** The addresses to which a process connects in place of its peers' addresses, as text; empty without a relay. */
    String addressOverrides(String from) {
        if (relay == null) {
            return "";
        }
        return ips.keySet().stream()
                .filter(to -> !to.equals(from))
                .map(to -> peerAddress(to) + "=" + Addresses.text(relay.dialAddress(from, to)))
                .collect(Collectors.joining(","));
    }

    @Override
    public void close() throws IOException {
        if (relay != null) {
            relay.close();
        }
    }
}
