package org.cypressweir.sidecar.plugin;

import java.util.Map;

/**
 * The parts of a request that a plug-in can read.
 *
 * @param path the path in the normal form used for route matching, without the query
 * @param headers by name in lower case; field lines of one name joined by {@code ", "}
 * @param requestClass the current class of the request, from its route or an earlier plug-in; empty if it has none
 */
public record RequestView(String method, String path, Map<String, String> headers, String requestClass) {}
