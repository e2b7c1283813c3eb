package org.cypressweir.sidecar.route;

/**
 * A host as a route names it: exact, every name below a suffix ({@code *.example.org}, which does not match
 * {@code example.org} itself), or any ({@code *}).
 *
 * @param name in normal form; for a suffix what follows {@code *.}; null for any
 */
public record HostPattern(String name, boolean suffix) {

    /** Any host, and none. */
    public static final HostPattern ANY = new HostPattern(null, false);

    /**
     * Reads a pattern.
     *
     * @throws IllegalArgumentException with one line on what is wrong with the text
     */
    public static HostPattern parse(String text) {
        if (text.equals("*")) {
            return ANY;
        }
        boolean suffix = text.startsWith("*.");
        String name = suffix ? text.substring(2) : text;
        try {
            String normal = HostName.normal(name);
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
