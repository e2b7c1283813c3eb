package org.cypressweir.controlplane.configuration;

/** A service that a route goes to, and its weight among the route's others. */
public record WeightedDestination(String service, double weight) {}
