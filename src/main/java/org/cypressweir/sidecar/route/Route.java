package org.cypressweir.sidecar.route;

/**
 * A route: the requests it matches and their target.
 *
 * @param name unique among routes
 * @param <T> type of the target
 */
public record Route<T>(String name, Match match, T target) {}
