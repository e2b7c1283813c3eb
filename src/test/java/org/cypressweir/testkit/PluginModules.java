package org.cypressweir.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import org.cypressweir.sidecar.route.PluginConfiguration;
import org.cypressweir.sidecar.route.PluginGrant;

/**
 * The WebAssembly modules of the tests, good and hostile; sources and how they are made stand beside them.
 */
public final class PluginModules {

    private PluginModules() {}

    public static byte[] bytes(String name) throws IOException {
        try (InputStream in = PluginModules.class.getResourceAsStream("/plugins/" + name + ".wasm")) {
            return in.readAllBytes();
        }
    }

    /** With 5 ms a call and 2 MiB. */
    public static PluginConfiguration plan(String name, PluginGrant grant, Map<String, String> config)
            throws IOException {
        return new PluginConfiguration(name, 1, bytes(name), 5_000, 32, false, grant, config);
    }
}
