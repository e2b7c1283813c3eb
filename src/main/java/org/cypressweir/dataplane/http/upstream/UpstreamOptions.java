package org.cypressweir.dataplane.http.upstream;

/**
 * The options of an {@link UpstreamDispatcher}.
 *
 * @param extraInFlight requests sent beyond the server's concurrency, so that it never idles between two of them
 * @param warmUpFactor share of the concurrency that is used while the server is warming up
 * @param minQueued up to this many requests are queued without a prediction; zero for half of the concurrency
 * @param maxQueued the maximum number of queued requests; zero for four times the concurrency
 * @param initialServiceTimeMicros the service time that is assumed before any was measured
 * @param lingerMicros how long past its deadline a request that is not idempotent keeps its connection
 * @param maxConnections the number of connections that the server accepts, until another one is announced
 * @param maxResponseBytes the maximum size of a response body
 */
public record UpstreamOptions(
        int extraInFlight,
        double warmUpFactor,
        int minQueued,
        int maxQueued,
        long initialServiceTimeMicros,
        long connectTimeoutMicros,
        long lingerMicros,
        int maxConnections,
        int maxResponseBytes) {

    /** The options in production. */
    public static UpstreamOptions defaults() {
        return new UpstreamOptions(1, 1.0, 0, 0, 50_000, 1_000_000, 500_000, 64, 16 * 1024 * 1024);
    }

    int minQueued(int concurrency) {
        return minQueued > 0 ? minQueued : Math.max(1, concurrency / 2);
    }

    int maxQueued(int concurrency) {
        return maxQueued > 0 ? maxQueued : Math.max(4, 4 * concurrency);
    }
}
