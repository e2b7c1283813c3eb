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
 * Probes of servers ({@code GET /load}), where an installation permits them: a connection each, one at a
 * time to a server, and no more than this instance's part of what all may send.
 */
final class HealthProber {

    /** Hears what came of a probe. */
    interface Listener {
        void probed(long server, Result result, long elapsedMicros, LoadReport report);
    }

    private static final long PATIENCE_MICROS = 1_000_000;
    private static final int MAX_REPORT = 4096;

    private final EventLoop loop;
    private final SidecarClock clock;
    private final long connectMicros;
    private final BooleanSupplier budget;
    private final Listener listener;
    private final Set<Long> probing = new HashSet<>();

    /** @param budget whether a probe may go out now; spends it */
    HealthProber(EventLoop loop, SidecarClock clock, long connectMicros, BooleanSupplier budget, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.connectMicros = connectMicros;
        this.budget = budget;
        this.listener = listener;
    }

    /** Probes a server, unless a probe is on its way to it or the budget is spent. */
    void probe(long server, InetSocketAddress address) {
        if (!probing.contains(server) && budget.getAsBoolean()) {
            probing.add(server);
            new Probe(server, address);
        }
    }

    private final class Probe implements ServerConnection.Owner {
        private final long server;
        private final InetSocketAddress address;
        private final long sentAt = clock.micros();
        private final ServerConnection link;
        private final Future<?> patience;
        private boolean written;
        private boolean over;

        Probe(long server, InetSocketAddress address) {
            this.server = server;
            this.address = address;
            link = new ServerConnection(loop, address, MAX_REPORT, Math.min(connectMicros, PATIENCE_MICROS), this);
            patience = loop.schedule(() -> end(Result.TIMED_OUT, null), PATIENCE_MICROS, TimeUnit.MICROSECONDS);
        }

        @Override
        public void opened() {
            if (over) {
                return;
            }
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/load", Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            link.send(request);
        }

        @Override
        public void written() {
            written = true;
        }

        @Override
        public void answered(FullHttpResponse answer, boolean clean) {
            boolean well = answer.status().equals(HttpResponseStatus.OK);
            Result otherwise =
                    answer.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Result.FULL : Result.ERROR;
            end(
                    well ? Result.SERVED : otherwise,
                    well
                            ? LoadReports.parse(List.of(answer.content()
                                    .toString(StandardCharsets.US_ASCII)
                                    .trim()))
                            : null);
        }

        @Override
        public void closed() {
            end(written ? Result.BROKEN : Result.NO_CONNECTION, null);
        }

        private void end(Result result, LoadReport report) {
            if (over) {
                return;
            }
            over = true;
            patience.cancel(false);
            probing.remove(server);
            link.close();
            listener.probed(server, result, clock.micros() - sentAt, report);
        }
    }
}
