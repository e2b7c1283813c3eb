package org.cypressweir.architecture.planted.dataplane.proxy;

import org.cypressweir.architecture.planted.controlplane.controller.Publisher;

/** A forbidden dependency: the data plane on the program of the control plane. */
public final class Forwarder {
    public Publisher publisher;
}
