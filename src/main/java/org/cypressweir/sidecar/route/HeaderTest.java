package org.cypressweir.sidecar.route;

import java.util.List;

/**
 * What a route asks of one header. Names are compared without case, values as they are. Fields of one name
 * count as one value, joined by {@code ", "} (RFC 9110, section 5.3): so a request passes one test of
 * equality at most for each name, and a doubled header is not taken for a single one.
 *
 * @param name in lower case
 * @param value what it must equal; null where only its presence counts
 */
public record HeaderTest(String name, Kind kind, String value) {

    /** What is asked. */
    public enum Kind {
        PRESENT,
        ABSENT,
        EQUAL
    }

    /** Whether a header of this combined value passes; null where it is absent. */
    boolean matches(String combined) {
        return switch (kind) {
            case PRESENT -> combined != null;
            case ABSENT -> combined == null;
            case EQUAL -> value.equals(combined);
        };
    }

    /** Whether every request that passes the other passes this one too. */
    boolean impliedBy(HeaderTest other) {
        return equals(other) || name.equals(other.name) && kind == Kind.PRESENT && other.kind == Kind.EQUAL;
    }

    /** Whether no request passes both. */
    boolean excludes(HeaderTest other) {
        boolean values = kind == Kind.EQUAL && other.kind == Kind.EQUAL && !value.equals(other.value);
        return name.equals(other.name) && (values || (kind == Kind.ABSENT) != (other.kind == Kind.ABSENT));
    }

    static boolean anyExcludes(List<HeaderTest> some, List<HeaderTest> others) {
        return some.stream().anyMatch(a -> others.stream().anyMatch(a::excludes));
    }

    @Override
    public String toString() {
        return switch (kind) {
            case PRESENT -> name + " present";
            case ABSENT -> name + " absent";
            case EQUAL -> name + " = '" + value + "'";
        };
    }
}
