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
 * Watches discovery's list of servers by long polling, or polls it on a schedule. Once subscribed it goes on by itself;
 * when it fails it stops, until the load balancer subscribes again.
 */
final class Discovery {

    /** Receives lists and failures, always on the event loop. */
    interface Listener {
        void listReceived(ServerList list);

        void failed(String reason);
    }

    /**
     * How long discovery may hold a long poll. A change that never arrives counts as delivered 2 s after the hold ends,
     * so a long hold gives a sidecar that discovery cannot reach the most time before it is held to changes that it
     * could not receive. It also spares the shared service calls: a new watch costs one, while one that is held open
     * costs nothing. An even longer hold would leave a silent peer unnoticed for as long.
     */
    private static final long LONG_POLL_MILLIS = 20_000;
    /**
     * A peer that stays silent for this long beyond the hold is considered dead. Less than the 2 s after which a change
     * counts as delivered.
     */
    private static final long RESPONSE_GRACE_MILLIS = 1_000;

    private static final String PATH = "/v1/servers";
    private static final long CONNECT_MICROS = 1_000_000;
    /** Largest list, in bytes: some ten thousand servers. */
    static final int MAX_LIST_BYTES = 8 * 1024 * 1024;
    /**
     * Lists of this size or more are parsed on a separate thread: a megabyte would block the event loop for too long.
     */
    private static final int LARGE_LIST_BYTES = 64 * 1024;
    /**
     * Pause after an empty response that came early. A watch counts as continued if the next call comes within 200 ms
     * of a response.
     */
    private static final long EMPTY_RESPONSE_PAUSE_MILLIS = 100;

    private final EventLoop loop;
    private final ServerList.Reader reader;
    private final Listener listener;
    private final long longPollMillis;
    private final Consumer<String> log;

    private InetSocketAddress address;
    private Connection connection;
    /** The connection whose list is being parsed on the other thread. */
    private Connection readingFrom;

    private ExecutorService listReaders;
    private boolean watching;
    private boolean closed;
    /** The next response must be the complete list, because a revision of another discovery service means nothing. */
    private boolean needsCompleteList;

    private long revision;
    private long requestedAtNanos;
    private SidecarClock clock;
    private PollSchedule pollSchedule;
    private Future<?> responseTimeout;
    private Future<?> nextRequest;

    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            ServerList.Reader reader,
            long revision,
            Listener listener,
            Consumer<String> log) {
        this(loop, address, reader, revision, listener, log, LONG_POLL_MILLIS);
    }

    /** For tests, with another hold. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            ServerList.Reader reader,
            long revision,
            Listener listener,
            Consumer<String> log,
            long longPollMillis) {
        this.loop = loop;
        this.address = address;
        this.reader = reader;
        this.revision = revision;
        this.listener = listener;
        this.log = log;
        this.longPollMillis = longPollMillis;
    }

    /** When discovery may be polled; without a schedule it is watched. Times are Unix time in microseconds. */
    interface PollSchedule {
        /** The time of the next call. Each time is given only once. */
        long nextPollMicros(long nowMicros);

        /** How long a call may take. */
        long timeoutMicros();
    }

    /** Polls on this schedule from now on, with nothing held open in between; null to watch. */
    void setPollSchedule(SidecarClock clock, PollSchedule nextSchedule) {
        boolean wasPolling = pollSchedule != null;
        pollSchedule = nextSchedule;
        this.clock = clock;
        if (watching && (wasPolling || nextSchedule != null)) {
            // A call in flight was made in the old mode, and a pending one waits for a time of the old schedule.
            disconnect();
            scheduleRequest();
        }
    }

    /** The list of this process did not come from discovery: the next response must be the complete list. */
    void requireCompleteList() {
        needsCompleteList = true;
    }

    /** The schedule has changed: a call that is still waiting for its time gets a new one. */
    void reschedule() {
        if (pollSchedule != null && nextRequest != null && !nextRequest.isDone() && nextRequest.cancel(false)) {
            scheduleRequest();
        }
    }

    /** Starts to watch or poll; does nothing if already started. */
    void subscribe() {
        if (!watching) {
            watching = true;
            scheduleRequest();
        }
    }

    /** Sends the next request at once, or at the time given by the schedule. */
    private void scheduleRequest() {
        if (pollSchedule == null) {
            sendRequest();
            return;
        }
        long now = clock.micros();
        nextRequest = loop.schedule(
                this::sendRequest, Math.max(0, pollSchedule.nextPollMicros(now) - now), TimeUnit.MICROSECONDS);
    }

    /** Continues at another address. What the old one still sends is ignored. */
    void setAddress(InetSocketAddress to) {
        if (closed || to.equals(address)) {
            return;
        }
        address = to;
        needsCompleteList = true;
        disconnect();
        watching = true;
        scheduleRequest();
    }

    void close() {
        closed = true;
        watching = false;
        disconnect();
        if (listReaders != null) {
            listReaders.shutdown();
        }
    }

    private void sendRequest() {
        if (!watching) {
            return;
        }
        requestedAtNanos = System.nanoTime();
        long timeoutMillis =
                pollSchedule == null ? longPollMillis + RESPONSE_GRACE_MILLIS : pollSchedule.timeoutMicros() / 1_000;
        responseTimeout = loop.schedule(() -> fail("no answer"), timeoutMillis, TimeUnit.MILLISECONDS);
        if (connection == null) {
            connection = new Connection();
        } else if (connection.isConnected) {
            connection.send();
        }
    }

    private void handleResponse(FullHttpResponse response) {
        responseTimeout.cancel(false);
        if (!response.status().equals(HttpResponseStatus.OK)) {
            fail("status " + response.status().code());
            return;
        }
        byte[] text = ByteBufUtil.getBytes(response.content());
        boolean keepAlive = HttpUtil.isKeepAlive(response);
        if (text.length < LARGE_LIST_BYTES) {
            read(text).accept(keepAlive);
            return;
        }
        Connection from = connection;
        readingFrom = from;
        if (listReaders == null) {
            listReaders = Executors.newSingleThreadExecutor(new DefaultThreadFactory("lists", true));
        }
        listReaders.execute(() -> {
            Consumer<Boolean> read = read(text);
            loop.execute(() -> {
                // If the connection was dropped meanwhile, its list is out of date.
                if (readingFrom == from) {
                    readingFrom = null;
                    read.accept(keepAlive && connection == from);
                }
            });
        });
    }

    /**
     * Parses a list, on any thread. The action returned is to be run on the event loop, with whether the connection can
     * be kept.
     */
    private Consumer<Boolean> read(byte[] text) {
        try {
            ServerList list = reader.read(text);
            return keepAlive -> accept(list, keepAlive);
        } catch (IOException | RuntimeException e) {
            return keepAlive -> fail("malformed list: " + e.getMessage());
        }
    }

    private void accept(ServerList list, boolean keepAlive) {
        if (needsCompleteList && !list.complete()) {
            fail("changes where the complete list was expected");
            return;
        }
        needsCompleteList = false;
        revision = list.revision();
        if (!keepAlive || pollSchedule != null) {
            disconnect();
        }
        if (pollSchedule != null) {
            scheduleRequest();
            listener.listReceived(list);
            return;
        }
        boolean isEarly = list.entries().isEmpty()
                && System.nanoTime() - requestedAtNanos < TimeUnit.MILLISECONDS.toNanos(longPollMillis / 2);
        if (isEarly) {
            nextRequest = loop.schedule(this::sendRequest, EMPTY_RESPONSE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            sendRequest();
        }
        listener.listReceived(list);
    }

    private void disconnect() {
        readingFrom = null;
        if (responseTimeout != null) {
            responseTimeout.cancel(false);
        }
        if (nextRequest != null) {
            nextRequest.cancel(false);
        }
        if (connection != null) {
            Connection old = connection;
            connection = null;
            old.serverConnection.close();
        }
    }

    private void fail(String reason) {
        watching = false;
        disconnect();
        log.accept("discovery: " + reason);
        listener.failed(reason);
    }

    /** A connection to discovery. Once it is dropped, its events are ignored. */
    private final class Connection implements ServerConnection.Owner {
        private final ServerConnection serverConnection =
                new ServerConnection(loop, address, MAX_LIST_BYTES, CONNECT_MICROS, this);
        private boolean isConnected;

        private void send() {
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    needsCompleteList
                            ? PATH
                            : PATH + "?from=" + revision + "&hold_ms=" + (pollSchedule == null ? longPollMillis : 0),
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
            serverConnection.send(request);
        }

        @Override
        public void opened() {
            isConnected = true;
            if (connection == this) {
                send();
            }
        }

        @Override
        public void written() {}

        @Override
        public void responseReceived(FullHttpResponse response, boolean clean) {
            if (connection == this) {
                Discovery.this.handleResponse(response);
            }
        }

        @Override
        public void closed() {
            if (connection == this) {
                connection = null;
                if (readingFrom != this) {
                    fail(serverConnection.failure());
                }
            }
        }
    }
}
