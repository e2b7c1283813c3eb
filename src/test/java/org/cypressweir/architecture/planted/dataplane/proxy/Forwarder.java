package org.cypressweir.architecture.planted.dataplane.proxy;

import org.cypressweir.architecture.planted.controlplane.controller.Publisher;

/** The data plane names the program of the control plane: wrong. */
public final class Forwarder {
    public Publisher publisher;
}
