package org.cypressweir.common.util;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which texts are socket addresses, and that they are formatted as they were parsed. */
class AddressesTest {

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:0", "127.0.0.1:65535", "[::1]:80"})
    void literalAddressesAreParsedAndFormatted(String text) {
        assertThat(Addresses.text(Addresses.parse(text))).isEqualTo(text);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "10.0.0.1:-1", "localhost:80", ":80"})
    void otherTextsAreRejected(String text) {
        assertThatThrownBy(() -> Addresses.parse(text))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("'" + text + "' is not an address and a port");
    }
}
