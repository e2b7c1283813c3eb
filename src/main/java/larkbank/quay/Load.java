package larkbank.quay;

/** How busy the server is, as seen from here. */
public record Load(int running, int waiting, int slots) {}
