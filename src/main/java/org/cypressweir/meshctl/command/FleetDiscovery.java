package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.cypressweir.meshctl.state.ControllerPeer;
import org.cypressweir.meshctl.state.KnownProcesses;
import org.cypressweir.meshctl.state.LostProxy;
import org.cypressweir.meshctl.state.NodeState;
import org.cypressweir.meshctl.state.Registration;
import org.cypressweir.meshctl.state.ReportedProcess;

/**
 * Finds all processes of a mesh: queries the given addresses, then those that the responses report, until no new
 * address is reported. The result has each reported process once, with its response or the reason why there is none.
 * For one use by one thread.
 */
final class FleetDiscovery {

    /** Shown for controllers, which are reported without a name. */
    private static final String UNNAMED_CONTROLLER = "a controller";

    private final Function<List<String>, List<NodeResponse>> query;
    private final Map<String, NodeResponse> responses = new LinkedHashMap<>();
    private final Set<String> identities = new HashSet<>();
    private final Map<String, String> namesByControlAddress = new HashMap<>();
    /** Names of processes that were reported without a control-plane address, by peer address. */
    private final Map<String, String> withoutControlAddress = new LinkedHashMap<>();

    private final Set<String> peerAddressesResolved = new HashSet<>();

    /** @param query requests the state of several addresses at once */
    FleetDiscovery(Function<List<String>, List<NodeResponse>> query) {
        this.query = query;
    }

    List<NodeResponse> discover(List<String> seedAddresses) {
        Set<String> next = new LinkedHashSet<>(seedAddresses);
        while (!next.isEmpty()) {
            next = queryAll(List.copyOf(next));
        }
        List<NodeResponse> all = new ArrayList<>();
        responses.values().forEach(response -> all.add(named(response)));
        withoutControlAddress.forEach((address, name) -> {
            if (!peerAddressesResolved.contains(address)) {
                all.add(NodeResponse.failure(address, name, "its control-plane address is unknown"));
            }
        });
        return all;
    }

    /** Queries these addresses; returns those that the responses report and that were not queried yet. */
    private Set<String> queryAll(List<String> addresses) {
        Set<String> reported = new LinkedHashSet<>();
        for (NodeResponse response : query.apply(addresses)) {
            responses.put(response.address(), response);
            if (!response.failed() && !isDuplicate(response)) {
                reported.addAll(reportedAddresses(response.state().knownProcesses()));
            }
        }
        reported.removeAll(responses.keySet());
        return reported;
    }

    private NodeResponse named(NodeResponse response) {
        return response.failed()
                ? NodeResponse.failure(
                        response.address(),
                        namesByControlAddress.getOrDefault(response.address(), ""),
                        response.failure())
                : response;
    }

    /** Whether the process has already responded at another of its addresses; if so, drops this response. */
    private boolean isDuplicate(NodeResponse response) {
        NodeState state = response.state();
        peerAddressesResolved.add(state.process().address().text());
        String identity = state.kind().text() + " " + response.name() + " "
                + state.process().controlAddress().text();
        boolean duplicate = !response.name().isEmpty() && !identities.add(identity);
        if (duplicate) {
            responses.remove(response.address());
        }
        return duplicate;
    }

    private List<String> reportedAddresses(KnownProcesses known) {
        List<String> reported = new ArrayList<>();
        for (ControllerPeer controller : known.controllers()) {
            addReported(controller.process(), UNNAMED_CONTROLLER, reported);
        }
        for (Registration registration : known.registrations()) {
            addReported(registration.process(), reported);
        }
        for (ReportedProcess proxy : known.proxies()) {
            addReported(proxy, reported);
        }
        for (LostProxy proxy : known.lostProxies()) {
            addReported(proxy.process(), reported);
        }
        return reported;
    }

    private void addReported(ReportedProcess process, List<String> reported) {
        addReported(process, process.name().text(), reported);
    }

    private void addReported(ReportedProcess process, String name, List<String> reported) {
        String control = process.controlAddress().text();
        String peerAddress = process.address().text();
        if (control.isEmpty()) {
            withoutControlAddress.putIfAbsent(peerAddress, name);
        } else {
            peerAddressesResolved.add(peerAddress);
            namesByControlAddress.put(control, name);
            reported.add(control);
        }
    }
}
