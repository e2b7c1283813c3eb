package org.cypressweir.fleet.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.membership.FailureReport;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.Test;

/** The datagrams of membership and of leases, one of each kind, to the byte. */
class GoldenDatagramsTest {

    private static final String MEMBERSHIP = "messages/membership-datagrams.txt";
    private static final String LEASES = "messages/lease-messages.txt";
    private static final String CLUSTER = "test-cluster";
    private static final HexFormat HEX = HexFormat.of();

    private static Peer peer(String name, int lastByte) throws UnknownHostException {
        byte[] address = {10, 0, 0, (byte) lastByte};
        return new Peer(
                name,
                -0x123456789ABCDEFL,
                1_700_000_000_000L,
                lastByte,
                new InetSocketAddress(InetAddress.getByAddress(address), 7_946));
    }

    private static List<MemberRecord> entries() throws UnknownHostException {
        Map<String, String> facts = new LinkedHashMap<>();
        facts.put("address", "10.0.0.1:80");
        facts.put("zone", "\u00e9");
        List<MemberRecord> entries = new ArrayList<>();
        for (MemberStatus standing : MemberStatus.values()) {
            entries.add(new MemberRecord(peer("m" + standing.ordinal(), 2), standing, 3, facts, 4));
        }
        return entries;
    }

    private static MembershipMessage message(MembershipMessage.Kind kind) throws UnknownHostException {
        return new MembershipMessage(
                kind,
                peer("sender", 1),
                "receiver",
                1L << 40,
                -5,
                entries(),
                List.of(new FailureReport("r", 1, "m", 2, 3, true), new FailureReport("r", 1, "n", 2, 4, false)),
                List.of(0, -1, 1 << 30),
                "why",
                new byte[] {0, 1, -1});
    }

    private static LeaseMessage word(LeaseMessage.Kind kind) {
        Map<String, Long> tops = new LinkedHashMap<>();
        tops.put("lease-a", 8L);
        tops.put("lease-b", 1L << 40);
        return new LeaseMessage(kind, "lease-a", "holder/1f", 7, 6, 5_000_000, -9, tops);
    }

    @Test
    void datagramsAreTheSame() throws UnknownHostException {
        List<String> lines = new ArrayList<>();
        for (MembershipMessage.Kind kind : MembershipMessage.Kind.values()) {
            lines.add(kind.ordinal() + " " + HEX.formatHex(new MembershipMessageCodec(CLUSTER).write(message(kind))));
        }
        Golden.assertSame(MEMBERSHIP, lines);
    }

    @Test
    void datagramsAreRead() throws Exception {
        for (String line : Golden.text(MEMBERSHIP).split("\n")) {
            String[] parts = line.split(" ");
            MembershipMessage read = new MembershipMessageCodec(CLUSTER).read(HEX.parseHex(parts[1]));
            MembershipMessage expected = message(MembershipMessage.Kind.values()[Integer.parseInt(parts[0])]);
            assertThat(read).usingRecursiveComparison().isEqualTo(expected);
        }
    }

    @Test
    void leaseMessagesAreTheSame() {
        Golden.assertSame(
                LEASES,
                Stream.of(LeaseMessage.Kind.values())
                        .map(kind -> kind.ordinal() + " " + HEX.formatHex(LeaseMessageCodec.write(word(kind))))
                        .toList());
    }

    @Test
    void leaseMessagesAreRead() throws MembershipMessageCodec.Dropped {
        for (String line : Golden.text(LEASES).split("\n")) {
            String[] parts = line.split(" ");
            assertThat(LeaseMessageCodec.read(HEX.parseHex(parts[1])))
                    .isEqualTo(word(LeaseMessage.Kind.values()[Integer.parseInt(parts[0])]));
        }
    }

    /** The names under which dropped datagrams are counted in the answer about members. */
    @Test
    void causesOfDroppedDatagrams() {
        assertThat(Stream.of(MembershipMessageCodec.Fault.values()).map(Enum::name))
                .containsExactly("TOO_LONG", "TORN", "FOREIGN", "NEWER", "NONSENSE");
    }
}
