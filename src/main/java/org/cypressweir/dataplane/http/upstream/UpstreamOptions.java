package org.cypressweir.dataplane.http.upstream;

/**
 * What can be set. Zero for the two bounds of waiting stands for half and for four times the slots.
 *
 * @param extraInFlight requests sent beyond the slots, so that the server never starves between two answers
 * @param coldFactor share of the slots that is used while the server is cold
 * @param meanMicros the service time that is assumed until some were seen
 * @param lingerMicros how long past its deadline a request that must not be repeated keeps its connection
 * @param maxConnections what the server accepts, until that is told
 * @param mostAnswerBytes largest body of an answer
 */
public record UpstreamOptions(
        int extraInFlight,
        double coldFactor,
        int minWaiting,
        int mostWaiting,
        long meanMicros,
        long connectMicros,
        long lingerMicros,
        int maxConnections,
        int mostAnswerBytes) {

    public static UpstreamOptions defaults() {
        return new UpstreamOptions(1, 1.0, 0, 0, 50_000, 1_000_000, 500_000, 64, 16 * 1024 * 1024);
    }

    int minWaiting(int slots) {
        return minWaiting > 0 ? minWaiting : Math.max(1, slots / 2);
    }

    int mostWaiting(int slots) {
        return mostWaiting > 0 ? mostWaiting : Math.max(4, 4 * slots);
    }
}
