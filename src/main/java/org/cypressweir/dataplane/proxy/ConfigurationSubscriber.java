package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * Keeps the configuration up to date: compares the versions that controllers announce, selects the controller to
 * request a newer version from, and assembles its chunks. It never goes back to an older version: all controllers
 * announce versions from the same total order.
 *
 * <p>Not thread-safe: used on the event loop alone.
 */
final class ConfigurationSubscriber {

    /** If no further chunk arrives for this long, the version is requested from another controller. */
    private static final long CHUNK_TIMEOUT_MICROS = 600_000;

    private ProposalNumber version = ProposalNumber.ZERO;
    private Configuration configuration = Configuration.EMPTY;
    private final Map<String, ProposalNumber> announced = new HashMap<>();
    /** Chunks of incomplete versions: by controller, base version and version, then by index. */
    private final Map<String, Map<Integer, List<Item>>> incomplete = new HashMap<>();

    private String requestedFrom;
    private long lastProgressAt;
    private ProposalNumber votersVersion = ProposalNumber.ZERO;
    private Set<String> voters = Set.of();

    /** The version of the latest complete configuration. */
    ProposalNumber version() {
        return version;
    }

    Configuration configuration() {
        return configuration;
    }

    /** Takes the version that a controller has. */
    void versionAnnounced(String controller, ProposalNumber announcedVersion) {
        if (announcedVersion != null) {
            announced.put(controller, announcedVersion);
        }
    }

    /**
     * Takes the voters that a controller with this version announces. A controller that was partitioned announces old
     * voters, without newer members, so an announcement with an older version than the last accepted one is ignored.
     */
    void votersAnnounced(ProposalNumber announcedVersion, Set<String> announcedVoters) {
        if (announcedVersion != null && !announcedVoters.isEmpty() && announcedVersion.compareTo(votersVersion) >= 0) {
            votersVersion = announcedVersion;
            voters = announcedVoters;
        }
    }

    /** The controllers that vote; empty until they are announced. */
    Set<String> voters() {
        return voters;
    }

    void controllerLost(String controller) {
        announced.remove(controller);
        if (controller.equals(requestedFrom)) {
            requestedFrom = null;
        }
    }

    /** The controller to request a newer version from now; null for none. */
    String nextRequestTarget(long now) {
        if (requestedFrom != null && now - lastProgressAt < CHUNK_TIMEOUT_MICROS) {
            return null;
        }
        String best = null;
        for (Map.Entry<String, ProposalNumber> candidate : announced.entrySet()) {
            if (candidate.getValue().compareTo(version) > 0 && isBetter(candidate, best)) {
                best = candidate.getKey();
            }
        }
        if (best != null) {
            requestedFrom = best;
            lastProgressAt = now;
        }
        return best;
    }

    /** Whether the candidate has a newer version, or the same version while the request to the other has timed out. */
    private boolean isBetter(Map.Entry<String, ProposalNumber> candidate, String best) {
        return best == null
                || candidate.getValue().compareTo(announced.get(best)) > 0
                || candidate.getValue().equals(announced.get(best)) && best.equals(requestedFrom);
    }

    /** Takes one chunk; returns whether a newer version is complete now. */
    boolean chunkReceived(long now, String controller, ControllerMessage.ConfigurationChunk chunk, List<Item> items) {
        String base = chunk.baseVersion();
        boolean isNewer = chunk.version() != null && chunk.version().compareTo(version) > 0;
        if (!isNewer || !base.isEmpty() && !base.equals(version.toString())) {
            return false;
        }
        lastProgressAt = now;
        Map<Integer, List<Item>> chunks =
                incomplete.computeIfAbsent(controller + " " + base + " " + chunk.version(), key -> new HashMap<>());
        chunks.put(chunk.index(), items);
        if (chunks.size() < chunk.count()) {
            return false;
        }
        List<Item> all = new ArrayList<>();
        chunks.values().forEach(all::addAll);
        configuration = (base.isEmpty() ? Configuration.EMPTY : configuration).with(all);
        version = chunk.version();
        incomplete.clear();
        requestedFrom = null;
        return true;
    }
}
