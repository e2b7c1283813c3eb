package org.cypressweir.sidecar.route;

import java.util.ArrayList;
import java.util.List;

/**
 * The path pattern of a route: exact ({@code /a/b}), a prefix of whole segments ({@code /a/*}, which also matches
 * {@code /a}), or either with wildcard segments ({@code /a/{id}/c}). A path that ends with a slash has an empty last
 * segment, so {@code /a/} and {@code /a} are different paths.
 *
 * @param segments the segments; null is a wildcard, which matches one non-empty segment
 * @param prefix whether more segments may follow
 */
public record PathPattern(List<String> segments, boolean prefix) implements Comparable<PathPattern> {

    /** The most segments of a pattern; limited because each wildcard segment can add a branch to a look-up. */
    public static final int MAX_SEGMENTS = 32;

    /**
     * Parses a pattern.
     *
     * @throws IllegalArgumentException with a message of one line if the text is not a valid pattern
     */
    public static PathPattern parse(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("path '" + text + "' does not begin with '/'");
        }
        boolean prefix = text.endsWith("/*");
        String body = prefix ? text.substring(0, text.length() - 2) : text;
        List<String> segments = new ArrayList<>();
        for (String segment : body.isEmpty() ? new String[0] : body.substring(1).split("/", -1)) {
            boolean wildcard = segment.startsWith("{") && segment.endsWith("}");
            if (!wildcard && (segment.contains("{") || segment.contains("}") || segment.contains("*"))) {
                throw new IllegalArgumentException("path '" + text + "': '" + segment
                        + "' mixes text with an open part; a segment is either text or '{name}'");
            }
            if (wildcard && segment.length() == 2) {
                throw new IllegalArgumentException("path '" + text + "': '{}' has no name");
            }
            segments.add(wildcard ? null : segment);
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new IllegalArgumentException("path '" + text + "' has more than " + MAX_SEGMENTS + " segments");
        }
        PathPattern pattern = new PathPattern(segments, prefix);
        pattern.checkNormalized(text);
        return pattern;
    }

    /** Rejects a pattern that is not in normal form, because requests are matched in normal form. */
    private void checkNormalized(String text) {
        StringBuilder sample = new StringBuilder();
        segments.forEach(s -> sample.append('/').append(s == null ? "x" : s));
        if (sample.length() == 0) {
            return;
        }
        String normal;
        try {
            normal = RequestTarget.normalPath(sample.toString());
        } catch (InvalidTargetException e) {
            throw new IllegalArgumentException("path '" + text + "': " + e.getMessage(), e);
        }
        if (sample.indexOf("?") >= 0 || sample.indexOf("#") >= 0) {
            throw new IllegalArgumentException("path '" + text + "' has a query or a fragment");
        }
        if (!normal.contentEquals(sample)) {
            throw new IllegalArgumentException("path '" + text + "' is not in normal form, so nothing matches it");
        }
    }

    /** The segments of a path in normal form; {@code /} has one empty segment. */
    static String[] segments(String path) {
        return path.substring(1).split("/", -1);
    }

    /**
     * Orders the more specific pattern first. Segments are compared from the left: literal text before a wildcard
     * segment, a wildcard before the end of a prefix. Of two overlapping patterns, a request is matched by the first.
     */
    @Override
    public int compareTo(PathPattern other) {
        for (int i = 0; i < Math.max(segments.size(), other.segments.size()) + 1; i++) {
            int order = Integer.compare(rank(i), other.rank(i));
            if (order != 0) {
                return order;
            }
        }
        return 0;
    }

    private int rank(int i) {
        if (i < segments.size()) {
            return segments.get(i) != null ? 0 : 1;
        }
        return i == segments.size() && !prefix ? 0 : 2;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        segments.forEach(s -> text.append('/').append(s == null ? "{}" : s));
        return prefix ? text.append("/*").toString() : text.length() == 0 ? "/" : text.toString();
    }
}
