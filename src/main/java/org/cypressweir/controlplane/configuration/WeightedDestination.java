package org.cypressweir.controlplane.configuration;

/** A service that a route sends requests to, with its weight among the destinations of that route. */
public record WeightedDestination(String service, double weight) {}
