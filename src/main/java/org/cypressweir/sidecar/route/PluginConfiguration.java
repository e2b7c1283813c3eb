package org.cypressweir.sidecar.route;

import java.util.Arrays;
import java.util.Map;

/**
 * The configuration of a plug-in, from the operators' file.
 *
 * @param line line of the file where it is defined; ignored by {@link #equals}
 * @param module the bytes of the WebAssembly module
 * @param deadlineMicros time from a request's call of the plug-in until the request continues without it
 * @param memoryPages most memory pages of 64 KiB that it may use
 * @param failClosed whether a request is refused if the plug-in fails; otherwise the request continues
 * @param config values that the plug-in may read by name
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
