package org.cypressweir.controlplane.configuration;

/**
 * Why an order is not taken: for what it says, for what was taken under its version, or, without a word on
 * the order itself, because nothing is known of that version any more.
 */
public enum RejectionKind {
    INVALID,
    CONFLICT,
    FORGOTTEN
}
