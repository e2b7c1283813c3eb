package org.cypressweir.sidecar.plugin;

import java.util.Map;

/**
 * What a plug-in sees of a request.
 *
 * @param path the normal form that routes are matched with, without the query
 * @param headers by name in small letters; fields of one name joined by {@code ", "}
 * @param requestClass the class of the route that it would take, as it is by now; empty where it has none
 */
public record RequestView(String method, String path, Map<String, String> headers, String requestClass) {}
