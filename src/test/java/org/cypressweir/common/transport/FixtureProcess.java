package org.cypressweir.common.transport;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.cypressweir.Main;
import org.cypressweir.common.util.Addresses;

/**
 * Runs a program of the mesh that dials its peers through the relays of a test fixture. Its settings and messages
 * have the addresses of the peers, not of the relays.
 */
public final class FixtureProcess {

    /** The system property with the overrides: {@code address=relay}, separated by commas. */
    public static final String ADDRESS_OVERRIDES = "fixture.addressOverrides";

    private FixtureProcess() {}

    public static void main(String[] args) {
        Map<InetSocketAddress, InetSocketAddress> relays = new HashMap<>();
        for (String override : System.getProperty(ADDRESS_OVERRIDES, "").split(",")) {
            String[] addresses = override.split("=");
            if (addresses.length == 2) {
                relays.put(Addresses.parse(addresses[0]), Addresses.parse(addresses[1]));
            }
        }
        PeerTransport.addressOverride = address -> relays.getOrDefault(address, address);
        Main.main(args);
    }
}
