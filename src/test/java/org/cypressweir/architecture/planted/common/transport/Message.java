package org.cypressweir.architecture.planted.common.transport;

import org.cypressweir.architecture.planted.dataplane.proxy.Forwarder;

/** A shared package names a program: wrong. */
public final class Message {
    public Forwarder[] forwarders;
}
