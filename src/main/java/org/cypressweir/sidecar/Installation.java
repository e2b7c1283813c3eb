package org.cypressweir.sidecar;

import java.io.IOException;
import java.util.Map;
import org.cypressweir.sidecar.operatorconfig.Facts;

/** Provides the facts against which the command line validates an operators' file. */
public final class Installation {

    private Installation() {}

    /**
     * Reads the configuration that {@code LB_CONFIG} names.
     *
     * @throws IOException with a one-line message that says what is wrong with it
     */
    public static Facts facts(Map<String, String> environment) throws IOException {
        return SidecarConfiguration.read(environment).facts();
    }
}
