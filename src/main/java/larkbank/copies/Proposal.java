package larkbank.copies;

import larkbank.manifest.Order;

/** An order that waits, or a read where the order is null. */
record Proposal(long number, Order order, long deadline) {}
