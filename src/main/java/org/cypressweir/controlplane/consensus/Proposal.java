package org.cypressweir.controlplane.consensus;

import org.cypressweir.controlplane.configuration.ConfigurationChange;

/** A change to be committed by the deadline, in microseconds; a linearizable read if the change is null. */
record Proposal(long id, ConfigurationChange change, long deadline) {}
