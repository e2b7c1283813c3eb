package org.cypressweir.sidecar;

import java.io.IOException;
import java.util.Map;
import org.cypressweir.sidecar.operatorconfig.Facts;

/** What an operators' file is checked against, for the command line. */
public final class Installation {

    private Installation() {}

    /**
     * Reads the configuration that {@code LB_CONFIG} names.
     *
     * @throws IOException with one line on what is wrong with it
     */
    public static Facts facts(Map<String, String> environment) throws IOException {
        return SidecarConfiguration.read(environment).facts();
    }
}
