package org.cypressweir.sidecar.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compiled routes: a hash map by host, below it a tree by path segment, and in each node the routes in order of
 * precedence, which are hashed by a header's value if they are many. The cost of a look-up depends on the length of the
 * request's host and path, not on the number of routes. {@link Match} defines the precedence.
 *
 * @param <T> type of a route's target
 */
public final class Router<T> {

    private final Map<String, Node<T>> hosts = new HashMap<>();
    private final Map<String, Node<T>> suffixes = new HashMap<>();
    private Node<T> anyHost;

    /** A node of the tree: the routes of one host with the same path segments. */
    private static final class Node<T> {
        private Map<String, Node<T>> literals = Map.of();
        private Node<T> wildcard;
        private Candidates<T> exact = Candidates.none();
        private Candidates<T> prefix = Candidates.none();
        private final List<Route<T>> exactRoutes = new ArrayList<>(1);
        private final List<Route<T>> prefixRoutes = new ArrayList<>(0);

        private Node<T> child(String segment) {
            if (segment == null) {
                wildcard = wildcard == null ? new Node<>() : wildcard;
                return wildcard;
            }
            if (literals.isEmpty()) {
                literals = new HashMap<>();
            }
            return literals.computeIfAbsent(segment, s -> new Node<>());
        }

        private void compile() {
            exact = Candidates.of(exactRoutes);
            prefix = Candidates.of(prefixRoutes);
            literals.values().forEach(Node::compile);
            if (wildcard != null) {
                wildcard.compile();
            }
        }

        private Route<T> find(Routable request, String[] segments, int at) {
            Route<T> found = null;
            if (at == segments.length) {
                found = exact.find(request);
            } else {
                Node<T> literal = literals.get(segments[at]);
                if (literal != null) {
                    found = literal.find(request, segments, at + 1);
                }
                if (found == null && wildcard != null && !segments[at].isEmpty()) {
                    found = wildcard.find(request, segments, at + 1);
                }
            }
            return found == null ? prefix.find(request) : found;
        }
    }

    /** Compiles routes. The caller ensures a precedence between each pair (see {@link Overlaps}). */
    public Router(List<Route<T>> routes) {
        for (Route<T> route : routes) {
            Node<T> node = root(route.match().host());
            for (String segment : route.match().path().segments()) {
                node = node.child(segment);
            }
            (route.match().path().prefix() ? node.prefixRoutes : node.exactRoutes).add(route);
        }
        hosts.values().forEach(Node::compile);
        suffixes.values().forEach(Node::compile);
        if (anyHost != null) {
            anyHost.compile();
        }
    }

    private Node<T> root(HostPattern host) {
        if (host.name() == null) {
            anyHost = anyHost == null ? new Node<>() : anyHost;
            return anyHost;
        }
        return (host.suffix() ? suffixes : hosts).computeIfAbsent(host.name(), h -> new Node<>());
    }

    /** The route that matches a request; null if none does. */
    public Route<T> find(Routable request) {
        String[] segments = PathPattern.segments(request.path());
        String host = request.host();
        Node<T> exact = hosts.get(host);
        Route<T> found = exact == null ? null : exact.find(request, segments, 0);
        if (!suffixes.isEmpty()) {
            for (int dot = host.indexOf('.'); found == null && dot >= 0; dot = host.indexOf('.', dot + 1)) {
                Node<T> suffix = suffixes.get(host.substring(dot + 1));
                found = suffix == null ? null : suffix.find(request, segments, 0);
            }
        }
        return found == null && anyHost != null ? anyHost.find(request, segments, 0) : found;
    }
}
