package org.cypressweir.sidecar.route;

import java.util.Arrays;
import java.util.Map;

/**
 * A plug-in as the operators' file names it.
 *
 * @param line of the file where it is named; not part of what it is
 * @param module the bytes of the WebAssembly module
 * @param deadlineMicros from when a request asks for it to when the request goes on without it
 * @param memoryPages of 64 KiB that it may have at most
 * @param failClosed whether a request is refused where the plug-in fails; otherwise it goes on
 * @param config what it may read by name
 */
public record PluginConfiguration(
        String name,
        int line,
        byte[] module,
        long deadlineMicros,
        int memoryPages,
        boolean failClosed,
        PluginGrant grant,
        Map<String, String> config) {

    @Override
    public boolean equals(Object o) {
        return o instanceof PluginConfiguration p
                && name.equals(p.name)
                && Arrays.equals(module, p.module)
                && deadlineMicros == p.deadlineMicros
                && memoryPages == p.memoryPages
                && failClosed == p.failClosed
                && grant.equals(p.grant)
                && config.equals(p.config);
    }

    @Override
    public int hashCode() {
        return name.hashCode() * 31 + Arrays.hashCode(module);
    }

    @Override
    public String toString() {
        return "plug-in " + name + " (" + module.length + " bytes)";
    }
}
