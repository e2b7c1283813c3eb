package org.cypressweir.architecture.planted.common.transport;

import org.cypressweir.architecture.planted.dataplane.proxy.Forwarder;

/** A forbidden dependency: a shared package on a program. */
public final class Message {
    public Forwarder[] forwarders;
}
