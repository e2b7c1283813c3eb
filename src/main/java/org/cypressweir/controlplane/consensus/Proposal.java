package org.cypressweir.controlplane.consensus;

import org.cypressweir.controlplane.configuration.ConfigurationChange;

/** A change to be agreed by the deadline, in microseconds; a read where the change is null. */
record Proposal(long id, ConfigurationChange change, long deadline) {}
