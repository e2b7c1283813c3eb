package org.cypressweir.sidecar.cli;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import org.cypressweir.sidecar.plugin.InvalidPluginException;
import org.cypressweir.sidecar.plugin.PluginHost;
import org.cypressweir.sidecar.route.PluginGrant;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code plugin check FILE}: checks whether a module is a plug-in that this program can run. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "check",
        description = "Compile and start a module; exit status 0, or 2 with the reason.")
final class PluginCheckCommand implements Callable<Integer> {

    @Mixin
    private PluginFile file;

    @Override
    public Integer call() {
        byte[] module = file.read();
        if (module == null) {
            return CommandLineTool.EXIT_INVALID_INPUT;
        }
        try (PluginHost host = new PluginHost(
                file.configuration(module, new PluginGrant(Set.of(), Set.of(), Set.of(), false), Map.of()),
                Runnable::run)) {
            file.out()
                    .println(host.configuration().name() + ": a plug-in for version 1 of the hook; imports: "
                            + String.join(" ", host.imports()));
            return 0;
        } catch (InvalidPluginException e) {
            return file.fail(e.getMessage());
        }
    }
}
