package org.cypressweir.common.transport;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.cypressweir.Main;
import org.cypressweir.common.util.Addresses;

/** A program of the mesh whose lines go by the rig's relay; all addresses that it knows stay as they are. */
public final class FixtureProcess {

    /** Names the detours: {@code to=by}, with a comma between. */
    public static final String DETOURS = "rig.detours";

    private FixtureProcess() {}

    public static void main(String[] args) {
        Map<InetSocketAddress, InetSocketAddress> detours = new HashMap<>();
        for (String one : System.getProperty(DETOURS, "").split(",")) {
            String[] ends = one.split("=");
            if (ends.length == 2) {
                detours.put(Addresses.parse(ends[0]), Addresses.parse(ends[1]));
            }
        }
        PeerTransport.detour = to -> detours.getOrDefault(to, to);
        Main.main(args);
    }
}
