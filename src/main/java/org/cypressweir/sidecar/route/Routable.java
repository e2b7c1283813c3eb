package org.cypressweir.sidecar.route;

/** What a router looks at in a request. */
public interface Routable {
    /** The method, in capitals. */
    String method();

    /** The host in normal form; empty where there is none. */
    String host();

    /** The path in normal form, without the query. */
    String path();

    /** The combined value of a header (fields joined by {@code ", "}), or null where it is absent. */
    String header(String name);
}
