package org.cypressweir.sidecar.route;

/**
 * The host pattern of a route: an exact name, every name below a suffix ({@code *.example.org}, which does not match
 * {@code example.org} itself), or any host ({@code *}).
 *
 * @param name in normal form; for a suffix the part after {@code *.}; null for any host
 */
public record HostPattern(String name, boolean suffix) {

    /** Matches any host, and a request without one. */
    public static final HostPattern ANY = new HostPattern(null, false);

    /**
     * Parses a pattern.
     *
     * @throws IllegalArgumentException with a message of one line if the text is not a valid pattern
     */
    public static HostPattern parse(String text) {
        if (text.equals("*")) {
            return ANY;
        }
        boolean suffix = text.startsWith("*.");
        String name = suffix ? text.substring(2) : text;
        try {
            String normal = HostName.normalize(name);
            if (normal.isEmpty() || name.indexOf(':') >= 0 && !name.startsWith("[") || name.contains("]:")) {
                throw new IllegalArgumentException("host '" + text + "' must be a name without a port");
            }
            return new HostPattern(normal, suffix);
        } catch (InvalidTargetException e) {
            throw new IllegalArgumentException("host '" + text + "' is neither a name nor '*.' and a name nor '*'", e);
        }
    }

    @Override
    public String toString() {
        return name == null ? "*" : suffix ? "*." + name : name;
    }
}
