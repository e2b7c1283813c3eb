package org.cypressweir.sidecar.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Option;

/** Options for the headers of the request that a command examines. */
final class HeaderOptions {

    @Option(names = "-H", paramLabel = "'NAME: VALUE'", description = "a header of the request")
    private List<String> headers = List.of();

    /**
     * Returns the headers by lower-case name; fields with the same name are joined.
     *
     * @throws IllegalArgumentException if a header has no name or no colon
     */
    Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String header : headers) {
            int colon = header.indexOf(':');
            if (colon < 1) {
                throw new IllegalArgumentException(
                        "-H takes a name and a value, such as 'Tenant: acme'," + " not '" + header + "'");
            }
            fields.merge(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim(),
                    (a, b) -> a + ", " + b);
        }
        return fields;
    }
}
