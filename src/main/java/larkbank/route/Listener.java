package larkbank.route;

import java.net.InetSocketAddress;

/** An address that clients connect to. */
public record Listener(String name, InetSocketAddress address) {}
