package org.cypressweir.sidecar.route;

/**
 * A route: what it matches, and where its requests go.
 *
 * @param name unique among routes
 * @param <T> what is known of the way from here on
 */
public record Route<T>(String name, Match match, T target) {}
