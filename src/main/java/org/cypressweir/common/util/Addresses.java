package org.cypressweir.common.util;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats socket addresses, {@code 10.0.0.1:80} or {@code [::1]:80}. Host names are rejected: there is
 * no DNS, and a look-up would block the event loop.
 */
public final class Addresses {

    private static final int MAX_PORT = 65_535;
    private static final int NO_PORT = -1;

    private Addresses() {}

    /** @throws IllegalArgumentException where the text is not an IP literal and a port */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] address = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        int port = parsePort(text.substring(colon + 1));
        if (address == null || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("'" + text + "' is not an address and a port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address", e);
        }
    }

    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return NO_PORT;
        }
    }

    /** The text that {@link #parse} reads back. */
    public static String text(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }
}
