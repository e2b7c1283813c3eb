package larkbank.rooms.planted.harbour;

/** What the data plane must not name. */
public final class Pier {}
