package org.cypressweir.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.Test;

/** Who watches whom, and the digests of entries: every process has to count them alike. */
class GoldenRingsTest {

    private static final int MEMBERS = 20;
    private static final long PROCESS_ID = 0x1234_5678_9ABCL;
    private static final long RELEASE_MICROS = 1_000;

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "proxy-" + i).toList();
    }

    @Test
    void neighborsAreTheSame() {
        MonitoringRings rings = new MonitoringRings(names(MEMBERS));
        List<String> lines = new ArrayList<>();
        for (String name : names(MEMBERS + 4)) {
            lines.add(name + " " + String.join(" ", rings.neighborsOf(name)));
        }
        Golden.assertSame("hashes/watchers.txt", lines);
    }

    @Test
    void digestsOfRecordsAreTheSame() {
        Peer peer = new Peer("proxy-1", PROCESS_ID, 0, 3, new InetSocketAddress("10.0.0.1", 1));
        List<String> digests = Stream.of(MemberStatus.values())
                .map(status -> Long.toHexString(new MemberRecord(peer, status, 5, Map.of(), 0).hash()))
                .toList();
        Golden.assertSame("hashes/entry-digests.txt", digests);
        assertThat(MemberStatus.values()).hasSize(digests.size());
    }

    /** Compared between processes, as a whole and by parts. */
    @Test
    void digestsOfAMemberTableAreTheSame() {
        MemberTable table = new MemberTable();
        for (String name : names(MEMBERS)) {
            Peer peer = new Peer(name, PROCESS_ID, 0, 1, new InetSocketAddress("10.0.0.1", 1));
            table.put(0, new MemberRecord(peer, MemberStatus.MEMBER, 0, Map.of(), 0), true);
        }
        Golden.assertSame(
                "hashes/roster-digests.txt",
                List.of(
                        "entries " + Long.toHexString(table.digest()),
                        "view " + Long.toHexString(table.viewFingerprint()),
                        "parts " + table.bucketDigests()));
    }

    /** Share voters send it to those whom they count. */
    @Test
    void digestOfCountedProcessesIsTheSame() {
        ShareVoter voter = new ShareVoter(0, RELEASE_MICROS, MEMBERS);
        voter.count(RELEASE_MICROS, "proxy-1/1f");
        ShareVoter.Grant grant = voter.count(RELEASE_MICROS, "proxy-2/20");
        Golden.assertSame("hashes/counted-digest.txt", List.of(grant.count() + " " + grant.digest()));
    }
}
