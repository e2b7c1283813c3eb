package org.cypressweir.meshctl.validation;

/** Field values that are valid in any item, whatever other items there are. Stateless. */
final class ValidValues {

    /** Higher than the version of any item. */
    static final String HIGHEST_VERSION = "r999999999999999999";

    private static final String DURATION = "1s";
    private static final long NUMBER = 1;
    private static final long MAX_HEADER_BYTES = 16_384;

    private ValidValues() {}

    /** Sets a field to a valid value; false if none is known for the field. */
    static boolean set(MutableJsonObject item, String field) {
        switch (field) {
            case "configVersion" -> item.set(field, HIGHEST_VERSION);
            case "healthPath" -> item.set(field, "/");
            case "routeType" -> item.set(field, "idempotent");
            case "protocol" -> item.set(field, "http");
            case "apiKeys" -> item.setEmptyArray(field);
            case "timeout", "targetLatency", "headerTimeout", "idleTimeout" -> item.set(field, DURATION);
            case "priority", "maxAttempts", "maxConnections", "ratePerS", "burstSize", "weight", "maxBodyBytes" -> item
                    .set(field, NUMBER);
            case "maxHeaderBytes" -> item.set(field, MAX_HEADER_BYTES);
            case "publicAccess", "tls" -> item.set(field, false);
            default -> {
                return false;
            }
        }
        return true;
    }
}
