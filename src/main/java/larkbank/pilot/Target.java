package larkbank.pilot;

/** A server that requests may be sent to: the address of the pilot beside it, and its instance. */
record Target(long number, String pilot, String address, String instance, String zone) { }
