package org.cypressweir.sidecar.route;

import java.util.ArrayList;
import java.util.List;

/**
 * A path as a route names it: exact ({@code /a/b}), a prefix of whole segments ({@code /a/*}, which
 * {@code /a} matches too), or either with segments left open ({@code /a/{id}/c}). A path that ends with a
 * slash has an empty last segment, so {@code /a/} and {@code /a} are two paths.
 *
 * @param segments a null stands for a segment left open, which one segment that is not empty matches
 * @param prefix whether more segments may follow
 */
public record PathPattern(List<String> segments, boolean prefix) implements Comparable<PathPattern> {

    /** More segments than this are refused, since open ones cost a look-up a branch each. */
    public static final int MAX_SEGMENTS = 32;

    /**
     * Reads a pattern.
     *
     * @throws IllegalArgumentException with one line on what is wrong with the text
     */
    public static PathPattern parse(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("path '" + text + "' does not begin with '/'");
        }
        boolean prefix = text.endsWith("/*");
        String body = prefix ? text.substring(0, text.length() - 2) : text;
        List<String> segments = new ArrayList<>();
        for (String segment : body.isEmpty() ? new String[0] : body.substring(1).split("/", -1)) {
            boolean open = segment.startsWith("{") && segment.endsWith("}");
            if (!open && (segment.contains("{") || segment.contains("}") || segment.contains("*"))) {
                throw new IllegalArgumentException("path '" + text + "': '" + segment
                        + "' mixes text with an open part; a segment is either text or '{name}'");
            }
            if (open && segment.length() == 2) {
                throw new IllegalArgumentException("path '" + text + "': '{}' has no name");
            }
            segments.add(open ? null : segment);
        }
        if (segments.size() > MAX_SEGMENTS) {
            throw new IllegalArgumentException("path '" + text + "' has more than " + MAX_SEGMENTS + " segments");
        }
        PathPattern pattern = new PathPattern(segments, prefix);
        pattern.checkNormal(text);
        return pattern;
    }

    /** What no request's normal form can be would never match. */
    private void checkNormal(String text) {
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

    /** Segments of a normal path; {@code /} has one, which is empty. */
    static String[] segments(String path) {
        return path.substring(1).split("/", -1);
    }

    /**
     * The more specific first: segment by segment from the left text goes before an open segment, that before
     * the end of a prefix. Of two patterns that overlap this tells which one a request goes to.
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
