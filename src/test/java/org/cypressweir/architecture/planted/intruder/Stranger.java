package org.cypressweir.architecture.planted.intruder;

import org.cypressweir.architecture.planted.common.transport.Message;

/** A forbidden dependency: a package that is not part of the mesh on one that is. */
public final class Stranger {
    public Message message;
}
