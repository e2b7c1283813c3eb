package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;

/**
 * What a file is checked against: the installation's settings and the limits of the process.
 *
 * @param serverConnections file descriptors available for connections to servers
 * @param listen the address to listen on if the file names no listener
 */
public record Facts(
        Settings settings, List<String> zones, List<String> models, int serverConnections, InetSocketAddress listen) {

    Optional<RequestClass> requestClass(String name) {
        return settings.classes().stream().filter(c -> c.name().equals(name)).findFirst();
    }

    List<String> classNames() {
        return settings.classes().stream().map(RequestClass::name).toList();
    }
}
