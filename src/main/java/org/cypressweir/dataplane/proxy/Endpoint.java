package org.cypressweir.dataplane.proxy;

/** A server that requests may be sent to: the address and the life of the pilot beside it, its instance. */
record Endpoint(long number, String pilot, long life, String address, String instance, String zone) {}
