package org.cypressweir.controlplane.registry;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.cypressweir.common.util.Json;

/**
 * The outcomes of attempts at one version of a service, by route: their number, how many of them failed, and their
 * durations. Samples of several proxies are merged by addition. Not thread-safe.
 */
public final class VersionSamples {

    private static final long MAX_MILLIS = 60_000;
    private static final int SIGNIFICANT_DIGITS = 1;

    /** The outcomes on one route. */
    public static final class Outcomes {
        private long attempts;
        private long failures;
        private final Histogram millis = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

        public long attempts() {
            return attempts;
        }

        /** Attempts with a status of 500 or above, or without a complete response. */
        public long failures() {
            return failures;
        }

        /** Durations of the attempts, in milliseconds. */
        public Histogram millis() {
            return millis;
        }

        private void add(Outcomes other) {
            attempts += other.attempts;
            failures += other.failures;
            millis.add(other.millis);
        }
    }

    private final Map<String, Outcomes> outcomesByRoute = new TreeMap<>();

    /** Records an attempt that has ended. */
    public void record(String route, boolean isFailure, long micros) {
        Outcomes outcomes = outcomesByRoute.computeIfAbsent(route, name -> new Outcomes());
        outcomes.attempts++;
        outcomes.failures += isFailure ? 1 : 0;
        outcomes.millis.recordValue(Math.max(0, Math.min(MAX_MILLIS, micros / 1_000)));
    }

    /** Adds the outcomes of another proxy. */
    public void add(VersionSamples other) {
        other.outcomesByRoute.forEach((route, outcomes) ->
                outcomesByRoute.computeIfAbsent(route, name -> new Outcomes()).add(outcomes));
    }

    public Map<String, Outcomes> byRoute() {
        return outcomesByRoute;
    }

    /** The outcomes of all routes together. */
    public Outcomes total() {
        Outcomes total = new Outcomes();
        outcomesByRoute.values().forEach(total::add);
        return total;
    }

    /** Encodes it for another process. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new TreeMap<>();
        outcomesByRoute.forEach((route, outcomes) -> {
            ByteBuffer buffer = ByteBuffer.allocate(outcomes.millis.getNeededByteBufferCapacity());
            int length = outcomes.millis.encodeIntoCompressedByteBuffer(buffer);
            byte[] bytes = new byte[length];
            buffer.flip().get(bytes);
            String text = Base64.getEncoder().encodeToString(bytes);
            map.put(route, List.of(outcomes.attempts, outcomes.failures, text));
        });
        return map;
    }

    /** Decodes the result of {@link #toMap}; malformed routes are left out. */
    public static VersionSamples of(Map<?, ?> map) {
        VersionSamples samples = new VersionSamples();
        for (Object route : new ArrayList<>(map.keySet())) {
            List<?> fields = Json.array(map, String.valueOf(route));
            if (fields.size() == 3
                    && fields.get(0) instanceof Number attempts
                    && fields.get(1) instanceof Number failures) {
                samples.read(
                        String.valueOf(route),
                        attempts.longValue(),
                        failures.longValue(),
                        String.valueOf(fields.get(2)));
            }
        }
        return samples;
    }

    private void read(String route, long attempts, long failures, String text) {
        Outcomes outcomes = new Outcomes();
        outcomes.attempts = attempts;
        outcomes.failures = failures;
        try {
            ByteBuffer buffer = ByteBuffer.wrap(Base64.getDecoder().decode(text));
            outcomes.millis.add(Histogram.decodeFromCompressedByteBuffer(buffer, MAX_MILLIS));
        } catch (DataFormatException | IllegalArgumentException | IndexOutOfBoundsException e) {
            // The counts are useful without the durations: they still show failures.
            outcomes.millis.reset();
        }
        outcomesByRoute.put(route, outcomes);
    }
}
