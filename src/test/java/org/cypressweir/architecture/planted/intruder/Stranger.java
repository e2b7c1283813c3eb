package org.cypressweir.architecture.planted.intruder;

import org.cypressweir.architecture.planted.common.transport.Message;

/** A package that is no part of the mesh names one that is: wrong. */
public final class Stranger {
    public Message message;
}
