package org.cypressweir.sidecar.route;

import java.util.List;

/**
 * A route's condition on one header. Names are case-insensitive, values are case-sensitive. Field lines of one name
 * form one value, joined by {@code ", "} (RFC 9110, section 5.3), so that a request passes at most one equality test
 * per name and a duplicated header is not mistaken for a single one.
 *
 * @param name in lower case
 * @param value the value it must equal; null if only its presence or absence counts
 */
public record HeaderTest(String name, Kind kind, String value) {

    /** The kind of condition. */
    public enum Kind {
        PRESENT,
        ABSENT,
        EQUAL
    }

    /** Whether a header with this combined value passes; null for an absent header. */
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
