package larkbank.manifest;

/** Why an order is refused: for what it says, or for what stands already. */
public enum Kind { INVALID, CONFLICT }
