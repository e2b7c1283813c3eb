package larkbank.rooms.planted.pilot;

import larkbank.rooms.planted.harbour.Pier;

/** The data plane names the program of the control plane: wrong. */
public final class Deck {
    public Pier pier;
}
