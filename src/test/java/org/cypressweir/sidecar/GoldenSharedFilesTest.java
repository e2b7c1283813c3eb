package org.cypressweir.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import org.cypressweir.fleet.membership.Lending.Loan;
import org.cypressweir.golden.Golden;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What sidecars of two builds share: pages of a server list, and the file by which one alone is known. */
class GoldenSharedFilesTest {

    private static final String PAGE = "messages/server-list-page.txt";
    private static final String LOCK_FILE = "larkbank.lock";
    private static final long REVISION = 12;
    private static final ServerList.Reader NAMES =
            new ServerList.Reader(List.of("zone-a", "zone-b"), List.of("model-1"));

    @TempDir
    Path folder;

    private static ServerList.Entry entry(long id, int zone, int model) throws UnknownHostException {
        return new ServerList.Entry(
                new Server(id, zone, model, 3, Phase.READY, 1_700_000_000_000_000L, 0.75),
                new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) id}), 8_080));
    }

    private static ServerList list() throws UnknownHostException {
        return new ServerList(REVISION, true, List.of(entry(1, 0, 0), entry(2, 1, -1), entry(3, -1, 0)));
    }

    @Test
    void pagesOfServersAreTheSame() throws IOException {
        ServerList list = list();
        EndpointListCache shelf = new EndpointListCache(new SidecarClock(), NAMES, REVISION, () -> list, () -> true);
        assertThat(shelf.pages()).isEqualTo(1);
        Golden.assertSame(PAGE, List.of(HexFormat.of().formatHex(shelf.page(0))));
    }

    @Test
    void pagesOfServersAreRead() throws IOException {
        EndpointListCache shelf = new EndpointListCache(new SidecarClock(), NAMES, 0, () -> null, () -> true);
        byte[] page = HexFormat.of().parseHex(Golden.text(PAGE).trim());
        assertThat(shelf.read(new Loan("lender", REVISION, 0, List.of(page)))).isEqualTo(list());
    }

    /** Two builds on one machine have to know of each other. */
    @Test
    void nameOfTheLockFile() throws IOException {
        assertThat(ProcessLock.in(folder.toString()).tryAcquire()).isTrue();
        try (var files = Files.list(folder)) {
            assertThat(files.map(file -> file.getFileName().toString())).containsExactly(LOCK_FILE);
        }
    }
}
