package org.cypressweir.sidecar.route;

import java.net.InetSocketAddress;

/** An address that clients connect to. */
public record Listener(String name, InetSocketAddress address) {}
