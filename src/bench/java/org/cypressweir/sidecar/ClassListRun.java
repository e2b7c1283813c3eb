package org.cypressweir.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;

/**
 * Makes {@code deploy/classes.lst} anew: plays to the program, as {@code run} starts it, what a day may bring,
 * so that the archive has what serving needs and not only what starting needs. Classes and lambdas that are
 * missing there are loaded from the jar and linked while requests wait. Argument: the list to write.
 */
public final class ClassListRun {

    private static final int SOCKETS = 160, ROUNDS = 60;
    private static final String LOAD = "Server-Load: TEXT cpu=0.5, rps=10, err_rps=0\r\n";

    private ClassListRun() {}

    public static void main(String[] args) throws Exception {
        Path list = Path.of(args[0]).toAbsolutePath();
        try (PeerStub good = new PeerStub(PeerStub.answers("200 OK", LOAD, "ok"));
                PeerStub better = new PeerStub(PeerStub.answers("200 OK", LOAD, "ok"));
                PeerStub rough = new PeerStub(ClassListRun::rough);
                Harness harness = new Harness(Files.createTempDirectory("list"), 250_000, SOCKETS, good, rough)) {
            harness.discovery.script(seen -> seen.reply("200 OK", "", Harness.json(Harness.NOTHING_NEW)));
            try (Served served = new Served(Path.of(""), harness.file, "", "-XX:DumpLoadedClassList=" + list)) {
                play(served, harness, good, better, rough);
            }
        }
        System.out.println(list + " has " + Files.readAllLines(list).size() + " lines");
    }

    /** Each answer that a server can give, in turn. */
    private static void rough(PeerStub.Seen seen) throws IOException {
        int turn = Math.floorMod(seen.request().headers().get("Request-Id").hashCode(), 7);
        switch (turn) {
            case 0 -> seen.reply("500 Broken", LOAD, "");
            case 1 -> seen.reply("503 Full", "Not-Started: 1\r\n", "");
            case 2 -> seen.raw("HTTP/1.1 nonsense\r\n\r\n");
            case 3 -> seen.raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            case 4 -> seen.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more");
            case 5 -> seen.socket().close();
            default -> {}
        }
    }

    private static void play(Served served, Harness harness, PeerStub good, PeerStub better, PeerStub rough)
            throws Exception {
        ask(served, ROUNDS);
        tell(harness, Harness.list(2, false, "in_service", better));
        ask(served, ROUNDS);
        tell(harness, Harness.list(3, false, "terminating", rough));
        tell(harness, Harness.list(4, true, "in_service", good, better));
        operate(served, harness);
        harness.discovery.script(PeerStub.HANG_UP);
        strange(served);
        crowd(served);
        harness.discovery.script(seen -> seen.reply("503 Down", "", ""));
        better.close();
        ask(served, ROUNDS);
    }

    /** What operators ask, and other settings while it runs. */
    private static void operate(Served served, Harness harness) throws Exception {
        String good = Files.readString(harness.file);
        for (String text : List.of(good.replace("\"name\":\"hold\"", "\"name\":\"keep\""), "", good)) {
            Files.writeString(harness.file, text);
            served.hangUp();
            Thread.sleep(200);
        }
        for (String line : List.of("READY", "STATS", "no call", "DRAIN")) {
            served.call(line);
        }
        ask(served, 2);
        Thread.sleep(600);
        ask(served, 1);
        served.call("UNDRAIN");
        ask(served, 2);
    }

    private static void tell(Harness harness, String list) throws Exception {
        int before = harness.discovery.seen.size();
        harness.discovery.script(seen -> {
            seen.reply("200 OK", "", Harness.json(list));
            harness.discovery.script(s -> s.reply("200 OK", "", Harness.json(Harness.NOTHING_NEW)));
        });
        while (harness.discovery.seen.size() < before + 3) {
            Thread.sleep(10);
        }
    }

    private static void ask(Served served, int times) throws Exception {
        for (int i = 0; i < times; i++) {
            try (Harness.Client client = new Harness.Client(served.address)) {
                for (int k = 0; k < 3; k++) {
                    Harness.Client next = k == 2 ? client.book("x", 300) : client.search(300);
                    if (RawHttpClient.read(next.socket.getInputStream()) == null) {
                        break;
                    }
                }
            }
        }
    }

    /** What is no request, or is not waited for. */
    private static void strange(Served served) throws Exception {
        String head = Harness.Client.head("POST", "/book/k", 500, "", 4);
        List<Harness.Client> left = new ArrayList<>();
        for (String text : List.of(
                "nonsense\r\n\r\n",
                head + "four and more",
                head + "x",
                "GET /other/k HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET /search/k HTTP/1.1\r\nHost: a\r\n\r\n",
                "G",
                Harness.Client.head("GET", "/search/k", 0, "", 0),
                "GET /healthz HTTP/1.0\r\n\r\n")) {
            left.add(new Harness.Client(served.address).raw(text));
        }
        new Harness.Client(served.address).search(3_000).close();
        Thread.sleep(2_300);
        for (Harness.Client client : left) {
            client.close();
        }
    }

    /** More connections than there may be, most with a request and some idle; then they go. */
    private static void crowd(Served served) throws Exception {
        List<Harness.Client> clients = new ArrayList<>();
        for (int i = 0; i < SOCKETS * 2; i++) {
            Harness.Client client = new Harness.Client(served.address);
            clients.add(i % 8 == 0 ? client : client.search(400));
        }
        Thread.sleep(800);
        for (Harness.Client client : clients) {
            client.close();
        }
    }
}
