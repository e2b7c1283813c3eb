package org.cypressweir.sidecar.route;

/** The properties of a request that a router matches. */
public interface Routable {
    /** The method, in upper case. */
    String method();

    /** The host in normal form; empty if there is none. */
    String host();

    /** The path in normal form, without the query. */
    String path();

    /** The combined value of a header (fields joined by {@code ", "}), or null if it is absent. */
    String header(String name);
}
