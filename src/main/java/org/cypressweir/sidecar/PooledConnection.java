package org.cypressweir.sidecar;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadReports;
import org.cypressweir.sidecar.ClientRequest.Attempt;

/**
 * A pool's connection to a server: connecting, carrying one attempt, idle, or switched to another protocol.
 *
 * <p>Confined to the event loop. It connects when it is made; {@link #closed} is its end, after which nothing is
 * reported of it.
 */
final class PooledConnection implements ServerConnection.Owner, ClientRequest.Switched {

    private final ServerPool pool;
    private final ServerInstance server;
    private final ServerConnection connection;
    /** Null where it carries none. */
    private Attempt attempt;

    private long idleSinceMicros;
    /** Came with the response that is streamed; null where none did. */
    private LoadReport streamedReport;
    /** What it became part of when it switched; null before. */
    private Upgrade.Joined joined;

    PooledConnection(ServerPool pool, ServerInstance server) {
        this.pool = pool;
        this.server = server;
        connection = pool.connect(server, this);
    }

    ServerInstance server() {
        return server;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    boolean isUsable() {
        return connection.usable();
    }

    long waitingBytes() {
        return connection.waitingBytes();
    }

    /** Carries this attempt from now on; it is written once the connection is up. */
    void assign(Attempt next) {
        attempt = next;
        pool.assigned(next, this);
    }

    /** Nobody waits for the attempt any more; closing tells the server so. */
    void abandon() {
        attempt = null;
        connection.close();
    }

    /**
     * The last look before the first byte: a connection may have outlived the decision that asked for it, and by
     * now the request be over, its time used up, or the server past its drain grace.
     */
    void write() {
        long nowMicros = pool.nowMicros();
        boolean isLate = server.isPastDrainGrace(nowMicros, pool.drainGraceMicros());
        if (attempt.call.over || nowMicros >= attempt.giveUpAt || isLate) {
            Attempt unsent = attempt;
            release();
            pool.end(unsent, Result.NOT_SENT, null, null);
            return;
        }
        connection.send(AttemptMessages.request(attempt, nowMicros), attempt.call.upgrade != null);
    }

    /** Becomes idle, or closes where it will not be used again. */
    private void release() {
        attempt = null;
        if (server.isInService()) {
            idleSinceMicros = pool.nowMicros();
            pool.idle().add(this);
            pool.closeSurplusIdle();
        } else {
            connection.close();
        }
    }

    private void releaseOrClose(boolean isReusable) {
        if (isReusable) {
            release();
        } else {
            abandon();
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
            pool.listener().attemptWritten();
        }
    }

    /**
     * What may throw comes before the attempt is let go: then the end of the connection ends it. A response that
     * is there before the request was written is none.
     */
    @Override
    public void answered(FullHttpResponse response, boolean clean) {
        if (attempt == null || !attempt.written) {
            connection.close();
            return;
        }
        Attempt done = attempt;
        boolean isUpgrade = done.call.upgrade != null;
        Result result =
                isUpgrade ? AttemptMessages.upgradeResult(done.call, response) : AttemptMessages.result(response);
        LoadReport report = readLoadReport(response);
        if (result == Result.SERVED && isUpgrade) {
            endWithSwitch(done, report, response);
            return;
        }
        boolean isHttp = !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        releaseOrClose(clean && isHttp && HttpUtil.isKeepAlive(response));
        pool.end(done, result, report, response);
    }

    private LoadReport readLoadReport(HttpResponse response) {
        LoadReport report = LoadReports.parse(response.headers().getAll(Headers.LOAD));
        if (report != null) {
            server.report(report, pool.nowMicros());
        }
        return report;
    }

    /** Whoever is told of the end joins this connection with the client's, or it is closed. */
    private void endWithSwitch(Attempt done, LoadReport report, FullHttpResponse response) {
        attempt = null;
        done.switched = this;
        pool.end(done, Result.SERVED, report, response);
        if (joined == null) {
            connection.close();
        }
    }

    /** Only what its client gets is read on; the outcome of any other large response is its status. */
    @Override
    public StreamedResponse passes(HttpResponse head, Runnable resume) {
        if (attempt == null || !attempt.written) {
            return null;
        }
        LoadReport report = readLoadReport(head);
        Result result = AttemptMessages.result(head);
        StreamedResponse target = result == Result.SERVED
                ? pool.listener().streamBegins(attempt, head.headers(), HttpUtil.getContentLength(head, -1L), resume)
                : null;
        if (target == null) {
            Attempt done = attempt;
            attempt = null;
            pool.end(done, done.call.upgrade == null ? result : Result.ERROR, report, null);
        } else {
            streamedReport = report;
        }
        return target;
    }

    @Override
    public void passed(boolean clean, boolean keepAlive) {
        Attempt done = attempt;
        if (done == null) {
            connection.close();
            return;
        }
        releaseOrClose(clean && keepAlive);
        pool.end(done, Result.SERVED, streamedReport, null);
    }

    @Override
    public Upgrade.End goOver() {
        return connection.goOver();
    }

    @Override
    public Upgrade.Host host() {
        return server;
    }

    @Override
    public void joined(Upgrade.Joined with) {
        joined = with;
        server.switched.add(this);
        if (!server.isInService()) {
            joined.leaves(server.drainingSinceMicros);
        }
    }

    /** The server of a switched connection drains since then. */
    void serverLeaves(long sinceMicros) {
        joined.leaves(sinceMicros);
    }

    /** The server of a switched connection is in service again. */
    void serverStays() {
        joined.stays();
    }

    @Override
    public void close() {
        connection.close();
    }

    @Override
    public void closed() {
        server.switched.remove(this);
        pool.idle().remove(this);
        pool.disconnected(server);
        if (attempt != null) {
            Attempt lost = attempt;
            attempt = null;
            pool.end(lost, lost.written ? Result.BROKEN : Result.NO_CONNECTION, null, null);
        }
    }
}
