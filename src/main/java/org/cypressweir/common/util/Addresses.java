package org.cypressweir.common.util;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Reads {@code address:port}. There is no DNS, and a look-up would block the loop: literals only. */
public final class Addresses {

    private Addresses() {}

    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] address = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        int port = -1;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            port = -1;
        }
        if (address == null || port < 0 || port > 65_535) {
            throw new IllegalArgumentException("'" + text + "' is not an address and a port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address", e);
        }
    }

    public static String text(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }
}
