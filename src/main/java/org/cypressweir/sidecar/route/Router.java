package org.cypressweir.sidecar.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes, compiled once: a hash by host, a tree by path segment below it, and the few routes of one place in
 * order of precedence, those beyond a handful behind a hash of a header's value. A look-up costs what the
 * request's own host and path are long, whatever the number of routes. Precedence is told at {@link Match}.
 *
 * @param <T> what a route leads to
 */
public final class Router<T> {

    private final Map<String, Node<T>> hosts = new HashMap<>();
    private final Map<String, Node<T>> suffixes = new HashMap<>();
    private Node<T> any;

    /** One place of the tree: below one host, behind the same segments. */
    private static final class Node<T> {
        private Map<String, Node<T>> texts = Map.of();
        private Node<T> open;
        private Candidates<T> exact = Candidates.none();
        private Candidates<T> prefix = Candidates.none();
        private final List<Route<T>> exactRoutes = new ArrayList<>(1);
        private final List<Route<T>> prefixRoutes = new ArrayList<>(0);

        private Node<T> child(String segment) {
            if (segment == null) {
                open = open == null ? new Node<>() : open;
                return open;
            }
            if (texts.isEmpty()) {
                texts = new HashMap<>();
            }
            return texts.computeIfAbsent(segment, s -> new Node<>());
        }

        private void compile() {
            exact = Candidates.of(exactRoutes);
            prefix = Candidates.of(prefixRoutes);
            texts.values().forEach(Node::compile);
            if (open != null) {
                open.compile();
            }
        }

        private Route<T> find(Routable request, String[] segments, int at) {
            Route<T> found = null;
            if (at == segments.length) {
                found = exact.find(request);
            } else {
                Node<T> text = texts.get(segments[at]);
                if (text != null) {
                    found = text.find(request, segments, at + 1);
                }
                if (found == null && open != null && !segments[at].isEmpty()) {
                    found = open.find(request, segments, at + 1);
                }
            }
            return found == null ? prefix.find(request) : found;
        }
    }

    /** Compiles routes; that each pair has an order is checked elsewhere ({@link Overlaps}). */
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
        if (any != null) {
            any.compile();
        }
    }

    private Node<T> root(HostPattern host) {
        if (host.name() == null) {
            any = any == null ? new Node<>() : any;
            return any;
        }
        return (host.suffix() ? suffixes : hosts).computeIfAbsent(host.name(), h -> new Node<>());
    }

    /** The route that a request takes; null where none matches. */
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
        return found == null && any != null ? any.find(request, segments, 0) : found;
    }
}
