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
 * <p>Confined to the event loop. It connects on construction; after {@link #closed} it reports nothing more.
 */
final class PooledConnection implements ServerConnection.Owner, ClientRequest.SwitchedConnection {

    private final ServerPool pool;
    private final ServerInstance server;
    private final ServerConnection connection;
    /** Null while it carries none. */
    private Attempt attempt;

    private long idleSinceMicros;
    /** The load report of the response that is being streamed; null if it had none. */
    private LoadReport streamedReport;
    /** The pair of connections that it belongs to after a protocol switch; null before. */
    private Upgrade.UpgradedExchange joined;

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
        return connection.isUsable();
    }

    long waitingBytes() {
        return connection.waitingBytes();
    }

    /** Assigns an attempt; on a new connection it is written once the connection is open. */
    void assign(Attempt next) {
        attempt = next;
        pool.assigned(next, this);
    }

    /** Drops the attempt and closes the connection, which tells the server that nobody waits for its response. */
    void abandon() {
        attempt = null;
        connection.close();
    }

    /**
     * Writes the request after a last check: the connection may have opened long after the decision to use it, and by
     * now the request may be over, its time used up, or the server past its drain grace.
     */
    void write() {
        long nowMicros = pool.nowMicros();
        boolean isLate = server.isPastDrainGrace(nowMicros, pool.drainGraceMicros());
        if (attempt.call.finished || nowMicros >= attempt.giveUpAt || isLate) {
            Attempt unsent = attempt;
            release();
            pool.end(unsent, Result.NOT_SENT, null, null);
            return;
        }
        connection.send(AttemptMessages.request(attempt, nowMicros), attempt.call.upgrade != null);
    }

    /** Makes the connection idle, or closes it if its server is not in service. */
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
     * Everything that may throw runs before the attempt is detached, so that after an exception the end of the
     * connection still ends it. A response that arrives before the request is written closes the connection.
     */
    @Override
    public void responseReceived(FullHttpResponse response, boolean clean) {
        if (attempt == null || !attempt.written) {
            connection.close();
            return;
        }
        Attempt ended = attempt;
        boolean isUpgrade = ended.call.upgrade != null;
        Result result =
                isUpgrade ? AttemptMessages.upgradeResult(ended.call, response) : AttemptMessages.result(response);
        LoadReport report = readLoadReport(response);
        if (result == Result.SERVED && isUpgrade) {
            endWithUpgrade(ended, report, response);
            return;
        }
        boolean isHttp = !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        releaseOrClose(clean && isHttp && HttpUtil.isKeepAlive(response));
        pool.end(ended, result, report, response);
    }

    private LoadReport readLoadReport(HttpResponse response) {
        LoadReport report = LoadReports.parse(response.headers().getAll(Headers.LOAD));
        if (report != null) {
            server.report(report, pool.nowMicros());
        }
        return report;
    }

    /**
     * Reports the end of the attempt, upon which the listener joins this connection with the client's; if it does not,
     * the connection is closed.
     */
    private void endWithUpgrade(Attempt ended, LoadReport report, FullHttpResponse response) {
        attempt = null;
        ended.switched = this;
        pool.end(ended, Result.SERVED, report, response);
        if (joined == null) {
            connection.close();
        }
    }

    /**
     * Reads on only if the response goes to the client; for any other large response the status alone decides the
     * result.
     */
    @Override
    public StreamedResponse startStreaming(HttpResponse head, Runnable resume) {
        if (attempt == null || !attempt.written) {
            return null;
        }
        LoadReport report = readLoadReport(head);
        Result result = AttemptMessages.result(head);
        StreamedResponse target = result == Result.SERVED
                ? pool.listener().startStreaming(attempt, head.headers(), HttpUtil.getContentLength(head, -1L), resume)
                : null;
        if (target == null) {
            Attempt ended = attempt;
            attempt = null;
            pool.end(ended, ended.call.upgrade == null ? result : Result.ERROR, report, null);
        } else {
            streamedReport = report;
        }
        return target;
    }

    @Override
    public void streamCompleted(boolean clean, boolean keepAlive) {
        Attempt ended = attempt;
        if (ended == null) {
            connection.close();
            return;
        }
        releaseOrClose(clean && keepAlive);
        pool.end(ended, Result.SERVED, streamedReport, null);
    }

    @Override
    public Upgrade.UpgradedChannel detach() {
        return connection.detach();
    }

    @Override
    public Upgrade.UpgradeServer upgradeServer() {
        return server;
    }

    @Override
    public void joined(Upgrade.UpgradedExchange with) {
        joined = with;
        server.switched.add(this);
        if (!server.isInService()) {
            joined.serverDraining(server.drainingSinceMicros);
        }
    }

    /** The server of a switched connection has been draining since this time. */
    void serverDraining(long sinceMicros) {
        joined.serverDraining(sinceMicros);
    }

    /** The server of a switched connection is in service again. */
    void serverInService() {
        joined.serverReinstated();
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
