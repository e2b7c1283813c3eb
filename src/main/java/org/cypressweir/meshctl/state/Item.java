package org.cypressweir.meshctl.state;

/**
 * An item of a configuration as a process lists it.
 *
 * @param type the table of the item
 * @param route the terms of a route; all absent in other items
 */
public record Item(JsonValue type, JsonValue name, JsonValue version, JsonValue withdrawn, RouteTerms route) {}
