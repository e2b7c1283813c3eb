package larkbank.manifest;

/** What stood before: a version and the print of its content. */
public record Past(long version, String print) { }
