package larkbank.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import larkbank.route.PluginGrant;
import larkbank.route.PluginPlan;

/**
 * The WebAssembly modules of the tests, good and hostile; sources and how they are made stand beside them.
 */
public final class Modules {

    private Modules() {}

    public static byte[] bytes(String name) throws IOException {
        try (InputStream in = Modules.class.getResourceAsStream("/plugins/" + name + ".wasm")) {
            return in.readAllBytes();
        }
    }

    /** With 5 ms a call and 2 MiB. */
    public static PluginPlan plan(String name, PluginGrant grant, Map<String, String> config) throws IOException {
        return new PluginPlan(name, 1, bytes(name), 5_000, 32, false, grant, config);
    }
}
