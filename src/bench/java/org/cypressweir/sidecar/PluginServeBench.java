package org.cypressweir.sidecar;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.PluginModules;

/** Cost of plug-ins over sockets, measured alternately with none, one and five: one client without pauses. */
public final class PluginServeBench {

    private static final int ROUNDS = 3;

    private PluginServeBench() {}

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("plugins");
        Files.write(folder.resolve("log-header.wasm"), PluginModules.bytes("log-header"));
        Files.write(folder.resolve("mark-pay.wasm"), PluginModules.bytes("mark-pay"));
        Files.write(folder.resolve("loop.wasm"), PluginModules.bytes("loop"));
        try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, server)) {
            String routes = "[pools.p]\nsource = \"discovery\"\n[routes.search]\npath = \"/search/*\"\n"
                    + "class = \"search\"\npool = \"p\"\n";
            List<Path> files = new ArrayList<>();
            List<String> names = List.of("none", "one", "five", "one that loops");
            String onePlugin = "[plugins.a]\nfile = \"log-header.wasm\"\nheaders = [\"X-Log-Client\"]\n";
            StringBuilder fivePlugins = new StringBuilder(onePlugin);
            for (String name : List.of("b", "c", "d", "e")) {
                fivePlugins
                        .append("[plugins.")
                        .append(name)
                        .append("]\nfile = \"mark-pay.wasm\"\n")
                        .append("classes = [\"book\"]\n");
            }
            for (String plugins :
                    List.of("", onePlugin, fivePlugins.toString(), "[plugins.a]\nfile = \"loop.wasm\"\n")) {
                files.add(folder.resolve("file-" + files.size() + ".toml"));
                Files.writeString(files.get(files.size() - 1), "version = 1\n" + plugins + routes);
            }
            List<List<CellServeBench.Run>> runs = new ArrayList<>();
            files.forEach(f -> runs.add(new ArrayList<>()));
            for (int i = 0; i < ROUNDS; i++) {
                for (int f = 0; f < files.size(); f++) {
                    runs.get(f).add(CellServeBench.run(harness, files.get(f)));
                }
            }
            for (int f = 0; f < files.size(); f++) {
                CellServeBench.print(names.get(f), runs.get(f));
            }
        }
        System.exit(0);
    }
}
