package org.cypressweir.fleet.lease;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.Test;

/** Which process comes first for which lease, and the number of a set of lease keepers. */
class GoldenPreferenceTest {

    private static final int NEXT = 3;

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    }

    private static InetSocketAddress address(int lastByte) throws UnknownHostException {
        return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) lastByte}), 7);
    }

    @Test
    void preferredHoldersAreTheSame() {
        List<String> leases = names("lease-", 12);
        Preference preference = new Preference(leases, names("proxy-", 7));
        Golden.assertSame(
                "hashes/lease-preferences.txt",
                leases.stream()
                        .map(lease -> lease + " " + String.join(" ", preference.ranked(lease, NEXT)))
                        .toList());
    }

    @Test
    void numbersOfKeeperSetsAreTheSame() throws UnknownHostException {
        List<InetSocketAddress> three = List.of(address(1), address(2), address(3));
        List<InetSocketAddress> others = List.of(address(3), address(4), address(5));
        List<String> lines = new ArrayList<>();
        lines.add(Long.toHexString(new LeaseOptions(three, null, 1, 0.01, false, Map.of()).grantorSetId()));
        lines.add(Long.toHexString(new LeaseOptions(others, three, 1, 0.01, false, Map.of()).grantorSetId()));
        Golden.assertSame("hashes/keeper-sets.txt", lines);
    }
}
