package org.cypressweir.meshctl.state;

/**
 * An item of a configuration as a process lists it.
 *
 * @param type the table of the item
 * @param route the fields of a route; all absent if the item is not a route
 */
public record Item(JsonValue type, JsonValue name, JsonValue version, JsonValue withdrawn, RouteTerms route) {}
