package org.cypressweir.sidecar;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import org.cypressweir.loadbalancing.CachedMeasurement;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadReports;
import org.cypressweir.sidecar.ClientRequest.Attempt;
import org.cypressweir.sidecar.route.PoolConfiguration;

/**
 * Connections to the servers and the attempts on them. A connection carries one attempt at a time; nothing is
 * ever sent a second time by the pool itself.
 */
final class ServerPool implements Upgrade.Fleet {

    /** How an attempt ended; the answer is there only when a server gave one, and only during the call. */
    interface Listener {
        void ended(Attempt attempt, Result result, LoadReport report, FullHttpResponse answer);

        /** A 200 is too large to be kept; where it goes on to, null for nowhere. */
        default StreamedResponse passes(Attempt attempt, HttpHeaders headers, long length, Runnable resume) {
            return null;
        }

        /** The last byte of an attempt has been handed to the network. */
        default void written() {}

        /** What a server carries beside requests, in requests in flight. */
        default void carries(long server, double requests, boolean full) {}
    }

    /** A second copy of an answer may come this much later, so for as long a connection is not used again. */
    static final long SETTLE_MICROS = 20_000;
    /** For how long it counts how many servers there are and how warm. */
    private static final long WARM_MICROS = 20_000;

    private final EventLoop loop;
    private final SidecarClock clock;
    private final Listener listener;
    private int most;
    private final long connectMicros;
    private final long drainGraceMicros;
    private final long idleMicros;
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<Attempt, Connection> busy = new HashMap<>();
    /** All idle connections, the longest idle first: to find it costs the same in a fleet of any size. */
    private final Set<Connection> idleOrder = new LinkedHashSet<>();

    private int open;
    /** Idle connections that it may keep, by the servers that it knows; null for no other bound. */
    private IntUnaryOperator mostIdle;
    /** Null where nothing goes over to another protocol. */
    private PoolConfiguration.Tunnelled tunnels;

    private final Rules rules;
    private final CachedMeasurement warm = new CachedMeasurement(WARM_MICROS);

    /** One process at one address; after a restart or a move the same server is another node. */
    private final class Node implements Upgrade.Host {
        final InetSocketAddress address;
        Server line;
        /** When the sidecar was told that it drains or is gone; 0 while it is in service. */
        long leavingSince;
        /** Not on the list any more: nothing new goes to it, and it is forgotten with its connections. */
        boolean gone;
        /** Those of its connections that have gone over to another protocol. */
        final Set<Connection> switched = new LinkedHashSet<>(0);
        /** Connections of any state. */
        int connections;
        /** Its own word on its use and its requests in flight, and when it said so; 0 for never. */
        double use;

        double inFlight;
        long toldAt;
        /** The most recently used last. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();

        Node(InetSocketAddress address, Server line) {
            this.address = address;
            this.line = line;
        }

        @Override
        public Upgrade.Fleet fleet() {
            return ServerPool.this;
        }

        @Override
        public long startMicros() {
            return line.startMicros();
        }

        @Override
        public void carries(double requests, boolean full) {
            listener.carries(line.id(), requests, full);
        }

        @Override
        public long toldAt() {
            return toldAt;
        }

        @Override
        public double use() {
            return use;
        }

        @Override
        public double requests() {
            return Double.isNaN(inFlight) ? connections - idle.size() - switched.size() : inFlight;
        }

        void told(LoadReport report) {
            use = report.utilization();
            inFlight = report.inFlight();
            toldAt = clock.micros();
        }

        boolean isFor(ServerList.Entry entry) {
            return entry.address().equals(address) && entry.server().startMicros() == line.startMicros();
        }
    }

    ServerPool(
            EventLoop loop,
            SidecarClock clock,
            SidecarConfiguration config,
            int most,
            PoolConfiguration.Tunnelled tunnels,
            Listener listener) {
        this.tunnels = tunnels;
        rules = config.settings().rules();
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.most = most;
        connectMicros = config.connectMicros();
        drainGraceMicros = config.drainGraceMicros();
        idleMicros = config.settings().limits().idleMicros();
        long sweep = Math.max(1, Math.min(1_000_000, idleMicros / 10));
        loop.scheduleWithFixedDelay(this::closeStale, sweep, sweep, TimeUnit.MICROSECONDS);
    }

    /** Takes over what discovery says of the servers. */
    void update(ServerList list) {
        long now = clock.micros();
        Set<Long> named = new HashSet<>();
        for (ServerList.Entry entry : list.entries()) {
            Server line = entry.server();
            named.add(line.id());
            Node node = nodes.get(line.id());
            if (node != null && !node.isFor(entry)) {
                leave(node, now);
                node.gone = true;
                node = null;
            }
            if (node == null) {
                node = new Node(entry.address(), line);
                nodes.put(line.id(), node);
            }
            node.line = line;
            node.gone = line.phase() == Phase.REMOVED;
            if (line.phase() == Phase.READY) {
                if (node.leavingSince != 0) {
                    node.leavingSince = 0;
                    node.switched.forEach(c -> c.joined.stays());
                }
            } else {
                leave(node, now);
            }
        }
        if (list.complete()) {
            for (Map.Entry<Long, Node> node : nodes.entrySet()) {
                if (!named.contains(node.getKey())) {
                    leave(node.getValue(), now);
                    node.getValue().gone = true;
                }
            }
            nodes.values().removeIf(n -> n.gone && n.connections == 0);
        } else {
            named.forEach(id -> nodes.computeIfPresent(id, (i, n) -> n.gone && n.connections == 0 ? null : n));
        }
    }

    private void leave(Node node, long now) {
        if (node.leavingSince == 0) {
            node.leavingSince = now;
            closeIdle(node);
            node.switched.forEach(c -> c.joined.leaves(now));
        }
    }

    /** Other bounds on connections; those above it end as they become idle, those that stay do so. */
    void limit(int connections, PoolConfiguration.Tunnelled others) {
        tunnels = others;
        most = connections;
        int surplus = open - most;
        while (surplus > 0 && closeOldestIdle()) {
            surplus--;
        }
    }

    /** From now on no more idle connections than this says for so many servers; null for no such bound. */
    void keep(IntUnaryOperator idle) {
        mostIdle = idle;
        closeSurplus();
    }

    /** The bound on idle connections may be another. */
    void trim() {
        closeSurplus();
    }

    /** What is idle for the longest goes first. */
    private void closeSurplus() {
        while (mostIdle != null && idleOrder.size() > mostIdle.applyAsInt(nodes.size())) {
            closeOldestIdle();
        }
    }

    /** Bytes that wait to be written on connections that have gone over to another protocol. */
    long waitingBytes() {
        return nodes.values().stream()
                .flatMap(n -> n.switched.stream())
                .mapToLong(c -> c.link.waitingBytes())
                .sum();
    }

    int size() {
        return nodes.size();
    }

    /** Servers on the list, those that drain among them. */
    int listed() {
        return (int) nodes.values().stream().filter(n -> !n.gone).count();
    }

    /** Servers on the list that are not in service. */
    int leaving() {
        return (int) nodes.values().stream()
                .filter(n -> !n.gone && n.leavingSince != 0)
                .count();
    }

    /** The servers as last told, those that are not gone. */
    ServerList list() {
        return new ServerList(
                0,
                true,
                nodes.values().stream()
                        .filter(n -> !n.gone)
                        .map(n -> new ServerList.Entry(n.line, n.address))
                        .toList());
    }

    /** Looked at anew after a while only, since it walks the fleet. */
    @Override
    public double warmServers() {
        long now = clock.micros();
        return warm.at(now, () -> nodes.values().stream()
                .filter(n -> n.leavingSince == 0)
                .mapToDouble(n -> rules.coldShare(now, n.line.startMicros()))
                .sum());
    }

    @Override
    public PoolConfiguration.Tunnelled tunnels() {
        return tunnels;
    }

    @Override
    public Rules rules() {
        return rules;
    }

    /** Where a server that is in service listens; null for any other. */
    InetSocketAddress address(long server) {
        Node node = nodes.get(server);
        return node == null || node.leavingSince != 0 ? null : node.address;
    }

    /** Whether any server is in service. */
    boolean anyReady() {
        return nodes.values().stream().anyMatch(n -> n.leavingSince == 0);
    }

    /** Sends an attempt on the connection used last, or on a new one. */
    void start(Attempt attempt) {
        Node node = nodes.get(attempt.server);
        if (node == null || node.gone) {
            end(attempt, Result.NOT_SENT, null, null);
            return;
        }
        if (attempt.call.upgrade != null) {
            attempt.call.upgrade.tried(node);
        }
        Connection connection = pollSettled(node);
        if (connection == null && open >= most && !closeOldestIdle()) {
            // The bound keeps descriptors for clients; past it the attempt never leaves this process.
            end(attempt, Result.NO_CONNECTION, null, null);
            return;
        }
        if (connection != null) {
            connection.take(attempt);
            connection.write();
        } else {
            new Connection(node).take(attempt);
        }
    }

    /** The connection used last of those that have been quiet for long enough, if it is still clean. */
    private Connection pollSettled(Node node) {
        long now = clock.micros();
        for (var latest = node.idle.descendingIterator(); latest.hasNext(); ) {
            Connection c = latest.next();
            if (now - c.idleSince >= SETTLE_MICROS) {
                latest.remove();
                idleOrder.remove(c);
                if (c.link.usable()) {
                    return c;
                }
            }
        }
        return null;
    }

    /** Stops an attempt, which tells the server so, and closes its connection. */
    void abandon(Attempt attempt) {
        Connection connection = busy.remove(attempt);
        if (connection != null) {
            connection.attempt = null;
            connection.link.close();
        }
    }

    void closeIdle(long server) {
        Node node = nodes.get(server);
        if (node != null) {
            closeIdle(node);
        }
    }

    void close() {
        nodes.values().forEach(this::closeIdle);
        List.copyOf(busy.keySet()).forEach(this::abandon);
    }

    private void closeIdle(Node node) {
        for (Connection c; (c = node.idle.poll()) != null; ) {
            idleOrder.remove(c);
            c.link.close();
        }
    }

    private boolean closeOldestIdle() {
        if (idleOrder.isEmpty()) {
            return false;
        }
        Connection oldest = idleOrder.iterator().next();
        idleOrder.remove(oldest);
        oldest.node.idle.remove(oldest);
        oldest.link.close();
        return true;
    }

    private void closeStale() {
        long now = clock.micros();
        while (!idleOrder.isEmpty() && now - idleOrder.iterator().next().idleSince >= idleMicros) {
            closeOldestIdle();
        }
    }

    private void end(Attempt attempt, Result result, LoadReport report, FullHttpResponse answer) {
        busy.remove(attempt);
        if (attempt.result == null) {
            listener.ended(attempt, result, report, answer);
        }
    }

    /** A connection to a server: coming up, carrying an attempt, or idle. */
    private final class Connection implements ServerConnection.Owner, ClientRequest.Switched {
        private final Node node;
        private Upgrade.Joined joined;
        private final ServerConnection link;
        private Attempt attempt;
        private long idleSince;
        /** What came with the answer that is passed on. */
        private LoadReport passedReport;

        Connection(Node node) {
            this.node = node;
            open++;
            node.connections++;
            link = new ServerConnection(loop, node.address, ServerConnection.MAX_BODY, connectMicros, this);
        }

        void take(Attempt next) {
            attempt = next;
            busy.put(next, this);
        }

        /**
         * The last look before the first byte: a connection may have outlived the decision that asked for it,
         * and by now the request be over, its time used up, or the server past its drain grace.
         */
        void write() {
            long now = clock.micros();
            boolean late = node.gone || node.leavingSince != 0 && now - node.leavingSince >= drainGraceMicros;
            if (attempt.call.over || now >= attempt.giveUpAt || late) {
                Attempt unsent = attempt;
                rest();
                end(unsent, Result.NOT_SENT, null, null);
                return;
            }
            link.send(request(attempt, now), attempt.call.upgrade != null);
        }

        private FullHttpRequest request(Attempt a, long now) {
            ClientRequest call = a.call;
            HttpHeaders headers = Headers.endToEnd(call.headers);
            headers.set(Headers.TIMEOUT, Math.max(1, (a.giveUpAt - now) / 1000));
            if (call.upgrade != null) {
                call.upgrade.ask(headers);
                return new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        call.method,
                        call.uri,
                        Unpooled.EMPTY_BUFFER,
                        headers,
                        new DefaultHttpHeaders());
            }
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            if (call.body.isReadable() || !call.method.equals(HttpMethod.GET)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.readableBytes());
            }
            return new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    call.method,
                    call.uri,
                    call.body.retainedDuplicate(),
                    headers,
                    new DefaultHttpHeaders());
        }

        /** Becomes idle, or closes where it will not be used again. */
        private void rest() {
            attempt = null;
            if (node.leavingSince != 0) {
                link.close();
            } else {
                idleSince = clock.micros();
                node.idle.addLast(this);
                idleOrder.add(this);
                closeSurplus();
            }
        }

        @Override
        public void opened() {
            if (attempt != null) {
                write();
            }
        }

        @Override
        public void written() {
            if (attempt != null) {
                attempt.written = true;
                listener.written();
            }
        }

        /**
         * What may throw comes before the attempt is let go: then the end of the connection ends it. An
         * answer that is there before the request was written is none.
         */
        @Override
        public void answered(FullHttpResponse answer, boolean clean) {
            if (attempt == null || !attempt.written) {
                link.close();
                return;
            }
            Result result = attempt.call.upgrade == null ? result(answer) : upgraded(attempt.call, answer);
            LoadReport report = LoadReports.parse(answer.headers().getAll(Headers.LOAD));
            if (report != null) {
                node.told(report);
            }
            Attempt done = attempt;
            if (result == Result.SERVED && done.call.upgrade != null) {
                attempt = null;
                done.switched = this;
                end(done, result, report, answer);
                if (joined == null) {
                    link.close();
                }
                return;
            }
            boolean http = !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            if (clean && http && HttpUtil.isKeepAlive(answer)) {
                rest();
            } else {
                attempt = null;
                link.close();
            }
            end(done, result, report, answer);
        }

        /** Only what its client gets is read on; the outcome of any other large answer is its status. */
        @Override
        public StreamedResponse passes(HttpResponse head, Runnable resume) {
            if (attempt == null || !attempt.written) {
                return null;
            }
            LoadReport report = LoadReports.parse(head.headers().getAll(Headers.LOAD));
            if (report != null) {
                node.told(report);
            }
            Result result = result(head);
            StreamedResponse to = result == Result.SERVED
                    ? listener.passes(attempt, head.headers(), HttpUtil.getContentLength(head, -1L), resume)
                    : null;
            if (to == null) {
                Attempt done = attempt;
                attempt = null;
                end(done, done.call.upgrade == null ? result : Result.ERROR, report, null);
            } else {
                passedReport = report;
            }
            return to;
        }

        @Override
        public void passed(boolean clean, boolean keepAlive) {
            Attempt done = attempt;
            if (done == null) {
                link.close();
                return;
            }
            if (clean && keepAlive) {
                rest();
            } else {
                attempt = null;
                link.close();
            }
            end(done, Result.SERVED, passedReport, null);
        }

        /** Only a 101 that answers what was asked serves; what else a server says is kept for the client. */
        private static Result upgraded(ClientRequest call, FullHttpResponse answer) {
            boolean switching = answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            if (switching) {
                return call.upgrade.fault(answer) == null ? Result.SERVED : Result.ERROR;
            }
            Result result = result(answer);
            boolean refusal = answer.status().code() == 503 || answer.status().code() == 429;
            if (result != Result.FULL && !refusal) {
                HttpHeaders headers = Headers.endToEnd(answer.headers());
                headers.remove(Headers.LOAD);
                call.declined =
                        new ClientRequest.Declined(answer.status(), headers, ByteBufUtil.getBytes(answer.content()));
            }
            return result == Result.SERVED ? Result.ERROR : result;
        }

        @Override
        public Upgrade.End goOver() {
            return link.goOver();
        }

        @Override
        public Upgrade.Host host() {
            return node;
        }

        @Override
        public void joined(Upgrade.Joined with) {
            joined = with;
            node.switched.add(this);
            if (node.leavingSince != 0) {
                joined.leaves(node.leavingSince);
            }
        }

        @Override
        public void close() {
            link.close();
        }

        private static Result result(HttpResponse answer) {
            int status = answer.status().code();
            if (status == HttpResponseStatus.OK.code()) {
                return Result.SERVED;
            }
            boolean turnedAway = (status == 503 || status == 504)
                    && "1".equals(answer.headers().get(Headers.NOT_STARTED));
            return turnedAway ? Result.FULL : Result.ERROR;
        }

        @Override
        public void closed() {
            open--;
            node.connections--;
            node.switched.remove(this);
            node.idle.remove(this);
            idleOrder.remove(this);
            if (node.gone && node.connections == 0) {
                nodes.remove(node.line.id(), node);
            }
            if (attempt != null) {
                Attempt lost = attempt;
                attempt = null;
                end(lost, lost.written ? Result.BROKEN : Result.NO_CONNECTION, null, null);
            }
        }
    }
}
