package larkbank.copies;

import larkbank.manifest.Order;

/** An order that waits, or a read where the order is null. */
record Ticket(long number, Order order, long deadline) { }
