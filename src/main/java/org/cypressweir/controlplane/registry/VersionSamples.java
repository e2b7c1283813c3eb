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
 * The outcomes of requests to one version of a service, by route: how many answers, how many of them bad, and their
 * times. Those of several proxies are merged by adding them. Not thread-safe.
 */
public final class VersionSamples {

    private static final long MAX_MILLIS = 60_000;
    private static final int SIGNIFICANT_DIGITS = 1;

    /** The outcomes on one route. */
    public static final class Outcomes {
        private long answers;
        private long bad;
        private final Histogram millis = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

        public long answers() {
            return answers;
        }

        /** Answers with a status of 500 or above, and requests without a complete answer. */
        public long bad() {
            return bad;
        }

        /** How long answers took, in milliseconds. */
        public Histogram millis() {
            return millis;
        }

        private void add(Outcomes other) {
            answers += other.answers;
            bad += other.bad;
            millis.add(other.millis);
        }
    }

    private final Map<String, Outcomes> outcomesByRoute = new TreeMap<>();

    /** An attempt has ended. */
    public void record(String route, boolean isBad, long micros) {
        Outcomes outcomes = outcomesByRoute.computeIfAbsent(route, name -> new Outcomes());
        outcomes.answers++;
        outcomes.bad += isBad ? 1 : 0;
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

    /** All routes together. */
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
            map.put(route, List.of(outcomes.answers, outcomes.bad, text));
        });
        return map;
    }

    /** Reads what {@link #toMap} made; routes that are not readable are left out. */
    public static VersionSamples of(Map<?, ?> map) {
        VersionSamples samples = new VersionSamples();
        for (Object route : new ArrayList<>(map.keySet())) {
            List<?> fields = Json.array(map, String.valueOf(route));
            if (fields.size() == 3 && fields.get(0) instanceof Number answers && fields.get(1) instanceof Number bad) {
                samples.read(
                        String.valueOf(route), answers.longValue(), bad.longValue(), String.valueOf(fields.get(2)));
            }
        }
        return samples;
    }

    private void read(String route, long answers, long bad, String text) {
        Outcomes outcomes = new Outcomes();
        outcomes.answers = answers;
        outcomes.bad = bad;
        try {
            ByteBuffer buffer = ByteBuffer.wrap(Base64.getDecoder().decode(text));
            outcomes.millis.add(Histogram.decodeFromCompressedByteBuffer(buffer, MAX_MILLIS));
        } catch (DataFormatException | IllegalArgumentException | IndexOutOfBoundsException e) {
            // Counts without their times still say what is bad.
            outcomes.millis.reset();
        }
        outcomesByRoute.put(route, outcomes);
    }
}
