package org.cypressweir.meshctl.validation;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationCheckTest {

    private static List<String> errors(String change) {
        byte[] file = change.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return ConfigurationCheck.errors(file, null).stream()
                .map(ValidationError::toString)
                .toList();
    }

    /** A name that contains a space or a dot does not hide the errors after it. */
    @Test
    void errorsAreFoundBehindNamesWithSpacesAndDots() {
        assertThat(errors("{'withdraw':{'my table':[]},'upsert':{'limits':{'idleTimeout':'x','configVersion':'r1'}}}"))
                .containsExactly(
                        "withdraw.my: table is not a table that items can be withdrawn from",
                        "limits.idleTimeout: must be a duration such as 1500ms or 2.5s");
        assertThat(errors("{'upsert':{'serviceTable':{'a':{'configVersion':'r1'},'a b.c':{'configVersion':7}}}}"))
                .containsExactly(
                        "serviceTable.a b.c.configVersion: must be a string",
                        "serviceTable.a.healthPath: is missing",
                        "serviceTable.a.maxConnections: is missing",
                        "serviceTable.a b.c.healthPath: is missing",
                        "serviceTable.a b.c.maxConnections: is missing");
    }
}
