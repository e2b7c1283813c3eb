package org.cypressweir.sidecar;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cypressweir.common.util.Addresses;

/**
 * Watches the list of servers. Once asked, the watch goes on by itself; when it fails it stops, and it is the
 * module that asks again.
 */
final class Discovery {

    /** What the watch brings, always on the event loop. */
    interface Listener {
        void listed(ServerList list);

        void failed(String why);
    }

    /**
     * How long discovery may wait. Word that never arrives counts as told 2 s after this wait is over, so a
     * long hold leaves a sidecar that discovery can't reach the longest time before it is held to what it
     * could not hear; and a new watch costs the shared service a call, while one that goes on costs nothing.
     * A longer one still would leave a silent peer unnoticed for as long.
     */
    private static final long HOLD_MILLIS = 20_000;
    /** Silence beyond the hold is a dead peer; less than the 2 s after which word counts as told. */
    private static final long SILENCE_MILLIS = 1_000;

    private static final String PATH = "/v1/servers";
    private static final long CONNECT_MICROS = 1_000_000;
    /** Largest list: some ten thousand servers. */
    static final int MAX_LIST = 8 * 1024 * 1024;
    /** A list from this size on is read on a thread of its own: a megabyte would stop the loop for long. */
    private static final int LARGE_LIST = 64 * 1024;
    /** Pause after an answer without news that came early; a watch goes on for 200 ms after an answer. */
    private static final long EARLY_MILLIS = 100;

    private final EventLoop loop;
    private final ServerList.Reader reader;
    private final Listener listener;
    private final long holdMillis;
    private final Consumer<String> log;

    private InetSocketAddress address;
    private Peer peer;
    /** The peer whose list is being read on the other thread. */
    private Peer reading;

    private ExecutorService readers;
    private boolean watching;
    private boolean closed;
    /** The next answer must be the whole list: the revision of another service says nothing. */
    private boolean whole;

    private long revision;
    private long askedAt;
    private SidecarClock clock;
    private Pace pace;
    private Future<?> silence;
    private Future<?> pause;

    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            ServerList.Reader reader,
            long revision,
            Listener listener,
            Consumer<String> log) {
        this(loop, address, reader, revision, listener, log, HOLD_MILLIS);
    }

    /** For tests: with another hold. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            ServerList.Reader reader,
            long revision,
            Listener listener,
            Consumer<String> log,
            long holdMillis) {
        this.loop = loop;
        this.address = address;
        this.reader = reader;
        this.revision = revision;
        this.listener = listener;
        this.log = log;
        this.holdMillis = holdMillis;
    }

    /** When it may ask; without one it watches. Times are Unix time in microseconds. */
    interface Pace {
        /** The time of the next call, which is used up by this. */
        long next(long nowMicros);

        /** How long a call may take. */
        long patienceMicros();
    }

    /** Asks at this pace from now on, and holds nothing open in between; null to watch. */
    void pace(SidecarClock clock, Pace other) {
        boolean was = pace != null;
        pace = other;
        this.clock = clock;
        if (watching && (was || other != null)) {
            // What is under way was asked in the old way, and what waits for its time waits for the old one.
            drop();
            begin();
        }
    }

    /** What this process has now is not discovery's own: the next answer must be the whole list. */
    void distrust() {
        whole = true;
    }

    /** The pace allows another time by now: what only waits for its time waits for that one. */
    void repace() {
        if (pace != null && pause != null && !pause.isDone() && pause.cancel(false)) {
            begin();
        }
    }

    /** Begins to watch; while the watch is on there is nothing to ask for. */
    void subscribe() {
        if (!watching) {
            watching = true;
            begin();
        }
    }

    /** Asks at once, or in its next turn. */
    private void begin() {
        if (pace == null) {
            ask();
            return;
        }
        long now = clock.micros();
        pause = loop.schedule(this::ask, Math.max(0, pace.next(now) - now), TimeUnit.MICROSECONDS);
    }

    /** Goes on at another address. What the old one still tells no longer counts. */
    void move(InetSocketAddress to) {
        if (closed || to.equals(address)) {
            return;
        }
        address = to;
        whole = true;
        drop();
        watching = true;
        begin();
    }

    void close() {
        closed = true;
        watching = false;
        drop();
        if (readers != null) {
            readers.shutdown();
        }
    }

    private void ask() {
        if (!watching) {
            return;
        }
        askedAt = System.nanoTime();
        long patience = pace == null ? holdMillis + SILENCE_MILLIS : pace.patienceMicros() / 1_000;
        silence = loop.schedule(() -> fail("no answer"), patience, TimeUnit.MILLISECONDS);
        if (peer == null) {
            peer = new Peer();
        } else if (peer.up) {
            peer.send();
        }
    }

    private void answered(FullHttpResponse answer) {
        silence.cancel(false);
        if (!answer.status().equals(HttpResponseStatus.OK)) {
            fail("status " + answer.status().code());
            return;
        }
        byte[] text = ByteBufUtil.getBytes(answer.content());
        boolean keep = HttpUtil.isKeepAlive(answer);
        if (text.length < LARGE_LIST) {
            read(text).accept(keep);
            return;
        }
        Peer from = peer;
        reading = from;
        if (readers == null) {
            readers = Executors.newSingleThreadExecutor(new DefaultThreadFactory("lists", true));
        }
        readers.execute(() -> {
            Consumer<Boolean> read = read(text);
            loop.execute(() -> {
                // Whoever moved on meanwhile no longer wants it.
                if (reading == from) {
                    reading = null;
                    read.accept(keep && peer == from);
                }
            });
        });
    }

    /** Reads a list, on any thread; what comes of it is to be done on the loop, told if the peer stays. */
    private Consumer<Boolean> read(byte[] text) {
        try {
            ServerList list = reader.read(text);
            return keep -> take(list, keep);
        } catch (IOException | RuntimeException e) {
            return keep -> fail("a malformed list: " + e.getMessage());
        }
    }

    private void take(ServerList list, boolean keep) {
        if (whole && !list.complete()) {
            fail("changes in place of the whole list");
            return;
        }
        whole = false;
        revision = list.revision();
        if (!keep || pace != null) {
            drop();
        }
        if (pace != null) {
            begin();
            listener.listed(list);
            return;
        }
        boolean early =
                list.entries().isEmpty() && System.nanoTime() - askedAt < TimeUnit.MILLISECONDS.toNanos(holdMillis / 2);
        if (early) {
            pause = loop.schedule(this::ask, EARLY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            ask();
        }
        listener.listed(list);
    }

    private void drop() {
        reading = null;
        if (silence != null) {
            silence.cancel(false);
        }
        if (pause != null) {
            pause.cancel(false);
        }
        if (peer != null) {
            Peer old = peer;
            peer = null;
            old.link.close();
        }
    }

    private void fail(String why) {
        watching = false;
        drop();
        log.accept("discovery: " + why);
        listener.failed(why);
    }

    /** A connection to discovery; once it is dropped, nothing that it still tells counts. */
    private final class Peer implements ServerConnection.Owner {
        private final ServerConnection link = new ServerConnection(loop, address, MAX_LIST, CONNECT_MICROS, this);
        private boolean up;

        private void send() {
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    whole ? PATH : PATH + "?from=" + revision + "&hold_ms=" + (pace == null ? holdMillis : 0),
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
            link.send(request);
        }

        @Override
        public void opened() {
            up = true;
            if (peer == this) {
                send();
            }
        }

        @Override
        public void written() {}

        @Override
        public void answered(FullHttpResponse answer, boolean clean) {
            if (peer == this) {
                Discovery.this.answered(answer);
            }
        }

        @Override
        public void closed() {
            if (peer == this) {
                peer = null;
                if (reading != this) {
                    fail(link.failure());
                }
            }
        }
    }
}
