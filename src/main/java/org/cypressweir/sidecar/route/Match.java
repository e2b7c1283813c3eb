package org.cypressweir.sidecar.route;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * What a route asks of a request.
 *
 * <p>Order: of all routes that match a request, the one goes before the others whose host is the most
 * specific (exact, then the longest suffix, then any); then path (see {@link PathPattern#compareTo}); then
 * the higher priority; then one that names methods; then the one with more header tests. Two that are equal
 * in all of this and can match the same request are an error at load.
 *
 * @param methods the methods, in capitals; empty for any
 * @param headers at most one test a header
 * @param priority decides between routes of the same host and path; 0 is usual
 */
public record Match(HostPattern host, PathPattern path, Set<String> methods, List<HeaderTest> headers, int priority) {

    /** The order of routes that have host and path in common. */
    static final Comparator<Match> WITHIN_PATH = Comparator.<Match>comparingInt(m -> -m.priority)
            .thenComparing(m -> m.methods.isEmpty())
            .thenComparing(m -> -m.headers.size());

    /** Whether some request matches both, host and path aside. */
    boolean conditionsOverlap(Match other) {
        boolean method =
                methods.isEmpty() || other.methods.isEmpty() || methods.stream().anyMatch(other.methods::contains);
        return method && !HeaderTest.anyExcludes(headers, other.headers);
    }

    /** Whether every request that matches the other matches this one, host and path aside. */
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
