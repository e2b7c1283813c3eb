package org.cypressweir.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadReports;

/**
 * Sends health probes to servers ({@code GET /load}), where an installation permits them. Each probe has a connection
 * of its own, each server has one probe at a time, and this instance sends no more than its share of the fleet's
 * probes.
 */
final class HealthProber {

    /** Receives the results of probes. */
    interface Listener {
        void probed(long server, Result result, long elapsedMicros, LoadReport report);
    }

    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final int MAX_REPORT_BYTES = 4096;

    private final EventLoop loop;
    private final SidecarClock clock;
    private final long connectMicros;
    private final BooleanSupplier budget;
    private final Listener listener;
    private final Set<Long> probing = new HashSet<>();

    /** @param budget takes one probe from the budget; false if none is left now */
    HealthProber(EventLoop loop, SidecarClock clock, long connectMicros, BooleanSupplier budget, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.connectMicros = connectMicros;
        this.budget = budget;
        this.listener = listener;
    }

    /** Probes a server, unless a probe to it is in flight or the budget is used up. */
    void probe(long server, InetSocketAddress address) {
        if (!probing.contains(server) && budget.getAsBoolean()) {
            probing.add(server);
            new Probe(server, address);
        }
    }

    private final class Probe implements ServerConnection.Owner {
        private final long server;
        private final InetSocketAddress address;
        private final long startedAtMicros = clock.micros();
        private final ServerConnection connection;
        private final Future<?> timeout;
        private boolean written;
        private boolean hasEnded;

        Probe(long server, InetSocketAddress address) {
            this.server = server;
            this.address = address;
            connection = new ServerConnection(
                    loop, address, MAX_REPORT_BYTES, Math.min(connectMicros, TIMEOUT_MICROS), this);
            timeout = loop.schedule(() -> end(Result.TIMED_OUT, null), TIMEOUT_MICROS, TimeUnit.MICROSECONDS);
        }

        @Override
        public void opened() {
            if (hasEnded) {
                return;
            }
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/load", Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            connection.send(request);
        }

        @Override
        public void written() {
            written = true;
        }

        @Override
        public void responseReceived(FullHttpResponse response, boolean clean) {
            boolean isOk = response.status().equals(HttpResponseStatus.OK);
            Result failure =
                    response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Result.FULL : Result.ERROR;
            end(
                    isOk ? Result.SERVED : failure,
                    isOk
                            ? LoadReports.parse(List.of(response.content()
                                    .toString(StandardCharsets.US_ASCII)
                                    .trim()))
                            : null);
        }

        @Override
        public void closed() {
            end(written ? Result.BROKEN : Result.NO_CONNECTION, null);
        }

        private void end(Result result, LoadReport report) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            timeout.cancel(false);
            probing.remove(server);
            connection.close();
            listener.probed(server, result, clock.micros() - startedAtMicros, report);
        }
    }
}
