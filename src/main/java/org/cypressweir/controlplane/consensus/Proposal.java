package org.cypressweir.controlplane.consensus;

import org.cypressweir.controlplane.configuration.ConfigurationChange;

/** An order that waits, or a read where the order is null. */
record Proposal(long number, ConfigurationChange order, long deadline) {}
