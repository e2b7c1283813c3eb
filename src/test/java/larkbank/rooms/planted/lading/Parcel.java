package larkbank.rooms.planted.lading;

import larkbank.rooms.planted.pilot.Deck;

/** A core names a program: wrong. */
public final class Parcel {
    public Deck[] decks;
}
