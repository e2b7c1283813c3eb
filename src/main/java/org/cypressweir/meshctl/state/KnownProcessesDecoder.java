package org.cypressweir.meshctl.state;

import java.util.List;

/**
 * Decodes what a process reports about other processes and the application instances beside them. The names of fields
 * are fixed, since processes may run different builds.
 */
final class KnownProcessesDecoder {

    private static final String NAME = "name";
    private static final String ADDRESS = "address";
    private static final String CONTROL_ADDRESS = "control";
    private static final String CONTROLLERS = "harbours";
    private static final String REACHABLE = "heard";
    private static final String REGISTRATIONS = "berths";
    private static final String PROXIES = "pilots";
    private static final String PEERS = "peers";
    private static final String LOST_PROXIES = "missed";
    private static final String LOST_MILLIS = "goneMs";
    private static final String SERVICES = "services";
    private static final String INSTANCE_PROXY = "pilot";
    private static final String SHUTTING_DOWN = "leaving";
    private static final String CONNECTED = "line";
    private static final String UNRESPONSIVE = "silent";
    private static final String SELECTED = "chosen";
    private static final String AGE_MILLIS = "ageMs";

    private KnownProcessesDecoder() {}

    static KnownProcesses decode(JsonObject state) {
        return new KnownProcesses(
                state.objects(CONTROLLERS).stream()
                        .map(controller -> new ControllerPeer(process(controller), controller.get(REACHABLE)))
                        .toList(),
                state.objects(REGISTRATIONS).stream()
                        .map(proxy -> new Registration(process(proxy), instance(proxy)))
                        .toList(),
                state.objects(PROXIES).stream()
                        .map(KnownProcessesDecoder::process)
                        .toList(),
                state.objects(PEERS).stream().map(KnownProcessesDecoder::peer).toList(),
                state.objects(LOST_PROXIES).stream()
                        .map(proxy -> new LostProxy(process(proxy), proxy.get(LOST_MILLIS)))
                        .toList());
    }

    static ReportedProcess process(JsonObject process) {
        return new ReportedProcess(process.get(NAME), process.get(ADDRESS), process.get(CONTROL_ADDRESS));
    }

    private static ProxyPeer peer(JsonObject peer) {
        return new ProxyPeer(peer.get(ADDRESS), peer.get(CONNECTED), peer.get("down"), peer.get(AGE_MILLIS));
    }

    static List<ServiceInstances> services(JsonObject state) {
        JsonObject services = state.object(SERVICES);
        return services.names().stream()
                .map(service -> new ServiceInstances(
                        service,
                        services.objects(service).stream()
                                .map(KnownProcessesDecoder::instance)
                                .toList()))
                .toList();
    }

    private static ApplicationInstance instance(JsonObject instance) {
        return new ApplicationInstance(
                instance.get(INSTANCE_PROXY),
                instance.get("zone"),
                instance.get("service"),
                instance.get("server"),
                instance.get("slots"),
                instance.get("draining"),
                instance.get(SHUTTING_DOWN),
                instance.get(CONNECTED),
                instance.get(UNRESPONSIVE),
                instance.get(SELECTED),
                instance.get(AGE_MILLIS));
    }
}
