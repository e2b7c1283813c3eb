package larkbank.manifest;

/** A service that a route goes to, and its weight among the route's others. */
public record Split(String service, double weight) {}
