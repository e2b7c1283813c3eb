package larkbank.rooms.planted.cargo;

import larkbank.rooms.planted.lading.Parcel;

/** A room that is no room of the mesh names one: wrong. */
public final class Crate {
    public Parcel parcel;
}
