package org.cypressweir.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;

/**
 * Regenerates {@code deploy/classes.lst}, the class list of the CDS archive: starts the sidecar as {@code run} does and
 * exercises typical traffic, so that the archive covers serving and not only starting. Classes and lambdas that are
 * missing from it are loaded from the jar and linked while requests wait. Argument: the list to write.
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
            harness.discovery.script(seen -> seen.reply("200 OK", "", Harness.json(Harness.EMPTY_UPDATE)));
            try (RunningSidecar served =
                    new RunningSidecar(Path.of(""), harness.file, "", "-XX:DumpLoadedClassList=" + list)) {
                exercise(served, harness, good, better, rough);
            }
        }
        System.out.println(list + " has " + Files.readAllLines(list).size() + " lines");
    }

    /** Sends one of several valid and faulty responses, selected by the request id. */
    private static void rough(PeerStub.ReceivedRequest seen) throws IOException {
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

    private static void exercise(RunningSidecar served, Harness harness, PeerStub good, PeerStub better, PeerStub rough)
            throws Exception {
        sendRequests(served, ROUNDS);
        updateList(harness, Harness.list(2, false, "in_service", better));
        sendRequests(served, ROUNDS);
        updateList(harness, Harness.list(3, false, "terminating", rough));
        updateList(harness, Harness.list(4, true, "in_service", good, better));
        exerciseOperatorCalls(served, harness);
        harness.discovery.script(PeerStub.HANG_UP);
        sendInvalidRequests(served);
        exceedConnectionLimit(served);
        harness.discovery.script(seen -> seen.reply("503 Down", "", ""));
        better.close();
        sendRequests(served, ROUNDS);
    }

    /** Operator calls, and reloads of the settings at run time. */
    private static void exerciseOperatorCalls(RunningSidecar served, Harness harness) throws Exception {
        String good = Files.readString(harness.file);
        for (String text : List.of(good.replace("\"name\":\"hold\"", "\"name\":\"keep\""), "", good)) {
            Files.writeString(harness.file, text);
            served.sendHangupSignal();
            Thread.sleep(200);
        }
        for (String line : List.of("READY", "STATS", "no call", "DRAIN")) {
            served.call(line);
        }
        sendRequests(served, 2);
        Thread.sleep(600);
        sendRequests(served, 1);
        served.call("UNDRAIN");
        sendRequests(served, 2);
    }

    private static void updateList(Harness harness, String list) throws Exception {
        int before = harness.discovery.received.size();
        harness.discovery.script(seen -> {
            seen.reply("200 OK", "", Harness.json(list));
            harness.discovery.script(s -> s.reply("200 OK", "", Harness.json(Harness.EMPTY_UPDATE)));
        });
        while (harness.discovery.received.size() < before + 3) {
            Thread.sleep(10);
        }
    }

    private static void sendRequests(RunningSidecar served, int times) throws Exception {
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

    /** Invalid requests, and requests whose client does not wait for the response. */
    private static void sendInvalidRequests(RunningSidecar served) throws Exception {
        String head = Harness.Client.head("POST", "/book/k", 500, "", 4);
        List<Harness.Client> clients = new ArrayList<>();
        for (String text : List.of(
                "nonsense\r\n\r\n",
                head + "four and more",
                head + "x",
                "GET /other/k HTTP/1.1\r\nHost: a\r\n\r\n",
                "GET /search/k HTTP/1.1\r\nHost: a\r\n\r\n",
                "G",
                Harness.Client.head("GET", "/search/k", 0, "", 0),
                "GET /healthz HTTP/1.0\r\n\r\n")) {
            clients.add(new Harness.Client(served.address).raw(text));
        }
        new Harness.Client(served.address).search(3_000).close();
        Thread.sleep(2_300);
        for (Harness.Client client : clients) {
            client.close();
        }
    }

    /** Opens more connections than allowed, most with a request and some idle, then closes them. */
    private static void exceedConnectionLimit(RunningSidecar served) throws Exception {
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
