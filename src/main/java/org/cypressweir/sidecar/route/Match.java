package org.cypressweir.sidecar.route;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * The conditions of a route on a request.
 *
 * <p>Precedence: of all routes that match a request, the one with the most specific host is used (exact, then the
 * longest suffix, then any); then the most specific path (see {@link PathPattern#compareTo}); then the higher priority;
 * then a route that names methods; then the one with more header tests. Two routes that are equal in all of this and
 * can match the same request are rejected when the configuration is loaded.
 *
 * @param methods the methods, in upper case; empty for any
 * @param headers at most one test per header
 * @param priority decides between routes of the same host and path; the default is 0
 */
public record Match(HostPattern host, PathPattern path, Set<String> methods, List<HeaderTest> headers, int priority) {

    /** The precedence of routes with the same host and path. */
    static final Comparator<Match> PRECEDENCE_WITHIN_PATH = Comparator.<Match>comparingInt(m -> -m.priority)
            .thenComparing(m -> m.methods.isEmpty())
            .thenComparing(m -> -m.headers.size());

    /** Whether some request can match both, apart from host and path. */
    boolean conditionsOverlap(Match other) {
        boolean method =
                methods.isEmpty() || other.methods.isEmpty() || methods.stream().anyMatch(other.methods::contains);
        return method && !HeaderTest.anyExcludes(headers, other.headers);
    }

    /** Whether every request that matches the other matches this one, apart from host and path. */
    boolean conditionsCover(Match other) {
        boolean method = methods.isEmpty() || !other.methods.isEmpty() && methods.containsAll(other.methods);
        return method && headers.stream().allMatch(h -> other.headers.stream().anyMatch(h::impliedBy));
    }

    @Override
    public String toString() {
        StringBuilder text =
                new StringBuilder("host ").append(host).append(", path ").append(path);
        if (!methods.isEmpty()) {
            text.append(", method ").append(String.join("|", methods));
        }
        headers.forEach(h -> text.append(", header ").append(h));
        return priority == 0
                ? text.toString()
                : text.append(", priority ").append(priority).toString();
    }
}
