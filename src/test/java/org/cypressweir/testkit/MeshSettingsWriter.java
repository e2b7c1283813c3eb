package org.cypressweir.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the settings files of the processes of a {@link MeshFixture}. */
final class MeshSettingsWriter {

    private final MeshNetwork network;
    private final Path folder;
    private boolean initialStart = true;

    /** @param folder where the data directories of the controllers are */
    MeshSettingsWriter(MeshNetwork network, Path folder) {
        this.network = network;
        this.folder = folder;
    }

    /** The settings written from now on say that the mesh has been started before. */
    void markInitialized() {
        initialStart = false;
    }

    /** @param timingBounds further timing bounds as the inside of a JSON object, each after a comma */
    void writeController(Path file, String name, String timingBounds) throws IOException {
        String node = ",\"dataDirectory\":\"" + folder.resolve(name) + "\"";
        write(file, name, "", node, timingBounds);
    }

    /** @param timingBounds further timing bounds as the inside of a JSON object, each after a comma */
    void writeProxy(Path file, String name, String service, String timingBounds) throws IOException {
        String ip = network.ip(name);
        String listeners = ",\"outbound\":\"" + ip + ":" + MeshNetwork.OUTBOUND_PORT + "\",\"readiness\":\"" + ip + ":"
                + MeshNetwork.READINESS_PORT + "\"";
        String node =
                ",\"application\":\"" + ip + ":" + MeshNetwork.APPLICATION_PORT + "\",\"service\":\"" + service + "\"";
        write(file, name, listeners, node, timingBounds);
    }

    private void write(Path file, String name, String listeners, String node, String timingBounds) throws IOException {
        List<String> seeds = network.controllers().stream()
                .map(controller -> "\"" + network.peerAddress(controller) + "\"")
                .toList();
        String text = "{\"localNode\":{\"nodeName\":\"" + name + "\",\"ipAddress\":\"" + network.ip(name)
                + "\",\"zone\":\"z1\",\"region\":\"r1\",\"initialStart\":" + initialStart + node
                + "},\"network\":{\"listenAddresses\":{\"controlPlane\":\"" + network.controlAddress(name) + "\""
                + listeners + "},\"internalPortRange\":[" + MeshNetwork.PEER_PORT + ","
                + (MeshNetwork.PEER_PORT + 9) + "],\"seedNodes\":" + seeds + ",\"zones\":{\"z1\":\"r1\"}},"
                + "\"platform\":{\"heartbeat\":\"500ms\"},"
                + "\"termTable\":{\"timingBounds\":{\"drain\":\"2500ms\","
                + "\"gracePeriod\":\"4s\",\"retrySlack\":200,\"retryBudgetRatio\":0.5" + timingBounds + "}}}";
        Files.writeString(file, text);
    }
}
