package org.cypressweir.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import org.cypressweir.sidecar.route.PluginConfiguration;
import org.cypressweir.sidecar.route.PluginGrant;

/**
 * The WebAssembly modules of the tests, valid and hostile ones. Their sources and the way to build them are in the same
 * resource folder.
 */
public final class PluginModules {

    private PluginModules() {}

    public static byte[] bytes(String name) throws IOException {
        try (InputStream in = PluginModules.class.getResourceAsStream("/plugins/" + name + ".wasm")) {
            return in.readAllBytes();
        }
    }

    /** A plugin configuration with limits of 5 ms for a call and 2 MiB (32 pages) of memory. */
    public static PluginConfiguration configuration(String name, PluginGrant grant, Map<String, String> config)
            throws IOException {
        return new PluginConfiguration(name, 1, bytes(name), 5_000, 32, false, grant, config);
    }
}
